package catalog

import (
	"cmp"
	"slices"
)

// Position returns the position of the catalog.
func (s *State) Position() Position {
	position := Position{Point: s.point}
	if s.configuration != nil {
		position.Version = s.configuration.Version
	}
	return position
}

// Since returns the batch that leads from a peer's position to the current state: the changes
// after that position if they are known individually, else a full snapshot. It contains only the
// difference to the configuration that the peer has, even in a snapshot: after the store has
// dropped its history, all nodes of a zone need a snapshot at the same time, and a configuration
// of 1600 routes takes 30 kB for each of them.
//
// The batch is empty for a peer in a later era, and a full snapshot for a peer in an earlier one.
func (s *State) Since(peer Position) Batch {
	if peer.Era > s.point.Era {
		return Batch{Era: s.point.Era, From: s.point.Revision, To: s.point.Revision}
	}
	revision := peer.Revision
	batch := Batch{Era: s.point.Era, From: revision, To: s.point.Revision}
	if peer.Era < s.point.Era || revision < s.historyFloor || revision == 0 {
		batch = Batch{Era: s.point.Era, To: s.point.Revision, Snapshot: true}
		revision = 0
	}
	if s.includesConfiguration(peer, revision, batch.Snapshot) {
		batch.Changes = append(batch.Changes, s.configurationChange(peer.Version))
	}
	for _, recorded := range s.instances {
		if recorded.revision > revision {
			instance := recorded.instance
			batch.Changes = append(batch.Changes, Change{Revision: recorded.revision, Instance: &instance})
		}
	}
	for _, recorded := range s.evacuations {
		if recorded.revision > revision && !(batch.Snapshot && recorded.Ended) {
			evacuation := recorded.Evacuation
			batch.Changes = append(batch.Changes, Change{Revision: recorded.revision, Evacuation: &evacuation})
		}
	}
	for _, removal := range s.removals {
		if removal.revision > revision && !batch.Snapshot {
			batch.Changes = append(batch.Changes, Change{Revision: removal.revision, Removed: removal.id})
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return batch
}

// includesConfiguration reports whether a batch for a peer at the given position includes the
// configuration.
func (s *State) includesConfiguration(peer Position, revision uint64, snapshot bool) bool {
	version := s.Position().Version
	switch {
	case version == 0:
		return false
	case version == peer.Version:
		return !snapshot && s.configurationRevision > revision
	default:
		return s.configurationRevision > revision || version > peer.Version
	}
}

// configurationChange returns the change to the newest configuration for a peer that has the
// given version: a difference if that version is still retained, else the complete configuration.
func (s *State) configurationChange(version uint64) Change {
	for _, previous := range s.previous {
		if previous.Version == version {
			return Change{Revision: s.configurationRevision, Difference: newDifference(previous, s.configuration)}
		}
	}
	return Change{Revision: s.configurationRevision, Configuration: s.configuration}
}

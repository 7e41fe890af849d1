package catalog

import (
	"cmp"
	"slices"
)

// Position returns what is held here.
func (s *State) Position() Position {
	position := Position{Point: s.point}
	if s.configuration != nil {
		position.Version = s.configuration.Version
	}
	return position
}

// Since returns the batch that leads from what a peer holds to what is known: the
// changes after it where they are known one by one, else the whole. Of a configuration
// the peer is told only what differs from the one that it holds, in a whole as well: after
// the store has dropped its history, all nodes of a zone need the whole at once, and 1600
// routes take 30 kB of a link for each of them.
//
// A peer that knows an era after this node's is told nothing; one of an era before, the
// whole.
func (s *State) Since(held Position) Batch {
	if held.Era > s.point.Era {
		return Batch{Era: s.point.Era, From: s.point.Revision, To: s.point.Revision}
	}
	revision := held.Revision
	batch := Batch{Era: s.point.Era, From: revision, To: s.point.Revision}
	if held.Era < s.point.Era || revision < s.floor || revision == 0 {
		batch = Batch{Era: s.point.Era, To: s.point.Revision, Whole: true}
		revision = 0
	}
	if s.isToldConfiguration(held, revision, batch.Whole) {
		batch.Changes = append(batch.Changes, s.configurationAfter(held.Version))
	}
	for _, held := range s.instances {
		if held.revision > revision {
			instance := held.instance
			batch.Changes = append(batch.Changes, Change{Revision: held.revision, Instance: &instance})
		}
	}
	for _, held := range s.evacuations {
		if held.revision > revision && !(batch.Whole && held.Ended) {
			told := held.Evacuation
			batch.Changes = append(batch.Changes, Change{Revision: held.revision, Evacuation: &told})
		}
	}
	for _, gone := range s.removed {
		if gone.revision > revision && !batch.Whole {
			batch.Changes = append(batch.Changes, Change{Revision: gone.revision, Removed: gone.id})
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return batch
}

// isToldConfiguration reports whether a peer is told the configuration with what it lacks
// after a revision, or with the whole.
func (s *State) isToldConfiguration(held Position, revision uint64, whole bool) bool {
	version := s.Position().Version
	switch {
	case version == 0:
		return false
	case version == held.Version:
		return !whole && s.configuredAt > revision
	default:
		return s.configuredAt > revision || version > held.Version
	}
}

// configurationAfter tells the newest configuration to a peer that holds a
// version: what has changed, if that version is still kept here.
func (s *State) configurationAfter(version uint64) Change {
	for _, held := range s.former {
		if held.Version == version {
			return Change{Revision: s.configuredAt, Difference: differenceOf(held, s.configuration)}
		}
	}
	return Change{Revision: s.configuredAt, Configuration: s.configuration}
}

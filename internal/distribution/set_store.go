package distribution

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// candidate is a version after the one in force.
type candidate struct {
	set        *snapshot.Set
	since      time.Time // when its set was first received, complete or not
	stagedAt   time.Time // when it was staged
	notifiedAt time.Time // when the leader was last notified of it
	root       string    // root of the tree that delivered it, "" if it was read or pulled
	// accepted is stored here too, so that reports of accepted versions that
	// never arrive cannot push it out of the bounded list.
	accepted bool
}

func (c *candidate) version() version.Version { return c.set.Version() }

// pendingPush is a push that is forwarded once its version is staged here.
type pendingPush struct {
	push      *wire.Push
	from      string
	forwarded bool
}

// setStore holds the sets of a node by their state. All but those in history
// are newer than active.
type setStore struct {
	active          *snapshot.Set
	staged          []*candidate      // complete, newest first
	waiting         *candidate        // newest that lacks bodies, nil if none
	history         []*snapshot.Set   // formerly in force, or dropped while staged; newest first
	maxHistory      int               // limit on the sets in history
	newestForwarded version.Version   // newest accepted version whose acceptance was forwarded
	accepted        []version.Version // reported as accepted but not staged, newest first
	pendingPushes   []*pendingPush    // newest first
	refused         []Refusal         // newest first
}

// Refusal is a version that failed the validator.
type Refusal struct {
	Version version.Version
	Reason  string
	At      time.Time
}

// lookup returns the complete set of a version, nil if there is none. The zero
// version has the empty set.
func (s *setStore) lookup(v version.Version) *snapshot.Set {
	if v.IsZero() {
		return snapshot.Empty()
	}
	if s.active.Version() == v {
		return s.active
	}
	if staged := s.findStaged(v); staged != nil {
		return staged.set
	}
	for _, set := range s.history {
		if set.Version() == v {
			return set
		}
	}
	return nil
}

// findStaged returns the staged candidate of a version, nil if there is none.
func (s *setStore) findStaged(v version.Version) *candidate {
	for _, staged := range s.staged {
		if staged.version() == v {
			return staged
		}
	}
	return nil
}

// newestComplete returns the newest version whose set is complete, in force or
// not.
func (s *setStore) newestComplete() version.Version {
	if len(s.staged) > 0 {
		return s.staged[0].version()
	}
	return s.active.Version()
}

// isRefused reports whether the version failed the validator.
func (s *setStore) isRefused(v version.Version) bool {
	return slices.ContainsFunc(s.refused, func(r Refusal) bool { return r.Version == v })
}

// isAccepted reports whether the version is recorded as accepted.
func (s *setStore) isAccepted(v version.Version) bool {
	if staged := s.findStaged(v); staged != nil && staged.accepted {
		return true
	}
	return slices.Contains(s.accepted, v)
}

// recordAccepted records a version as accepted, unless it is not after the one
// in force.
func (s *setStore) recordAccepted(v version.Version) {
	if !v.After(s.active.Version()) || s.isAccepted(v) {
		return
	}
	if staged := s.findStaged(v); staged != nil {
		staged.accepted = true
		return
	}
	s.accepted = insertNewest(s.accepted, v, maxAccepted, func(v version.Version) version.Version { return v })
}

// addHistory adds a set to the history.
func (s *setStore) addHistory(set *snapshot.Set) {
	if set.Version().IsZero() {
		return
	}
	s.history = slices.Insert(s.history, 0, set)
	s.history = s.history[:min(len(s.history), s.maxHistory)]
}

// findPush returns the pending push of a version, nil if there is none.
func (s *setStore) findPush(v version.Version) *pendingPush {
	for _, pending := range s.pendingPushes {
		if pending.push.Delta.To == v {
			return pending
		}
	}
	return nil
}

// dropUpTo drops everything that is not newer than the given version, except
// the pending push of that version itself.
func (s *setStore) dropUpTo(v version.Version) {
	s.staged = slices.DeleteFunc(s.staged, func(c *candidate) bool { return !c.version().After(v) })
	s.accepted = slices.DeleteFunc(s.accepted, func(known version.Version) bool { return !known.After(v) })
	s.pendingPushes = slices.DeleteFunc(s.pendingPushes, func(p *pendingPush) bool { return v.After(p.push.Delta.To) })
	if s.waiting != nil && !s.waiting.version().After(v) {
		s.waiting = nil
	}
}

// insertNewest inserts an item in descending order of version and truncates the
// list to the limit.
func insertNewest[T any](list []T, item T, limit int, versionOf func(T) version.Version) []T {
	index, _ := slices.BinarySearchFunc(list, item, func(a, b T) int { return versionOf(b).Compare(versionOf(a)) })
	list = slices.Insert(list, index, item)
	return list[:min(len(list), limit)]
}

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
	set   *snapshot.Set
	since time.Time // when it was first held, whole or not
	whole time.Time // when it was held whole
	noted time.Time // when the leader was last sent notice of it
	root  string    // root of the tree that brought it, "" when read or pulled
	// accepted is kept here too, so that no reports of versions that never come
	// can push it out of the bounded list.
	accepted bool
}

func (c *candidate) version() version.Version { return c.set.Version() }

// heldPush is a push that is passed on once its version is whole here.
type heldPush struct {
	push      *wire.Push
	from      string
	forwarded bool
}

// holdings are the sets that a node holds. All but the history is after active.
type holdings struct {
	active   *snapshot.Set
	staged   []*candidate      // whole, newest first
	waiting  *candidate        // the newest that lacks bodies, nil if none
	history  []*snapshot.Set   // newest first
	former   int               // the most sets in the history
	passed   version.Version   // newest accepted version passed on
	accepted []version.Version // known to be accepted, newest first
	pushes   []*heldPush       // newest first
	refused  []Refusal         // newest first
}

// Refusal is a version that failed the validator.
type Refusal struct {
	Version version.Version
	Reason  string
	At      time.Time
}

// lookup returns the set of a version that is held whole, nil if it is not.
func (h *holdings) lookup(v version.Version) *snapshot.Set {
	if v.IsZero() {
		return snapshot.Empty()
	}
	if h.active.Version() == v {
		return h.active
	}
	if staged := h.stagedOf(v); staged != nil {
		return staged.set
	}
	for _, set := range h.history {
		if set.Version() == v {
			return set
		}
	}
	return nil
}

// stagedOf returns the staged candidate of a version, nil if there is none.
func (h *holdings) stagedOf(v version.Version) *candidate {
	for _, staged := range h.staged {
		if staged.version() == v {
			return staged
		}
	}
	return nil
}

// newestWhole returns the newest version held whole, in force or not.
func (h *holdings) newestWhole() version.Version {
	if len(h.staged) > 0 {
		return h.staged[0].version()
	}
	return h.active.Version()
}

// isRefused reports whether the version failed the validator.
func (h *holdings) isRefused(v version.Version) bool {
	return slices.ContainsFunc(h.refused, func(r Refusal) bool { return r.Version == v })
}

// isAccepted reports whether the version is known to be accepted.
func (h *holdings) isAccepted(v version.Version) bool {
	if staged := h.stagedOf(v); staged != nil && staged.accepted {
		return true
	}
	return slices.Contains(h.accepted, v)
}

// noteAccepted remembers an accepted version.
func (h *holdings) noteAccepted(v version.Version) {
	if !v.After(h.active.Version()) || h.isAccepted(v) {
		return
	}
	if staged := h.stagedOf(v); staged != nil {
		staged.accepted = true
		return
	}
	h.accepted = insertNewest(h.accepted, v, maxKnownAccepted, func(v version.Version) version.Version { return v })
}

// remember adds a set to the history.
func (h *holdings) remember(set *snapshot.Set) {
	if set.Version().IsZero() {
		return
	}
	h.history = slices.Insert(h.history, 0, set)
	h.history = h.history[:min(len(h.history), h.former)]
}

// pushOf returns the push to be passed on for a version, nil if there is none.
func (h *holdings) pushOf(v version.Version) *heldPush {
	for _, held := range h.pushes {
		if held.push.Delta.To == v {
			return held
		}
	}
	return nil
}

// dropUpTo drops all that is not after the version in force.
func (h *holdings) dropUpTo(v version.Version) {
	h.staged = slices.DeleteFunc(h.staged, func(c *candidate) bool { return !c.version().After(v) })
	h.accepted = slices.DeleteFunc(h.accepted, func(known version.Version) bool { return !known.After(v) })
	h.pushes = slices.DeleteFunc(h.pushes, func(p *heldPush) bool { return v.After(p.push.Delta.To) })
	if h.waiting != nil && !h.waiting.version().After(v) {
		h.waiting = nil
	}
}

// insertNewest inserts in descending order of version and cuts the list.
func insertNewest[T any](list []T, item T, limit int, versionOf func(T) version.Version) []T {
	index, _ := slices.BinarySearchFunc(list, item, func(a, b T) int { return versionOf(b).Compare(versionOf(a)) })
	list = slices.Insert(list, index, item)
	return list[:min(len(list), limit)]
}

// Package store implements a stand-in for a linearizable key-value store that the
// system only reads. It has one revision counter, a history that can be compacted,
// watches, and the typical failures of such stores. It defines no data format and
// no transport; tests add their own.
package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is the state of a key after a change: its value, or that it was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
	Removed  bool
}

// Treatment is the way in which the store treats the calls of one caller. The
// transport implements it.
type Treatment int

// The treatments of calls.
const (
	Serve           Treatment = iota // respond normally
	Throttle                         // reject at once: too many calls
	Unavailable                      // reject at once: unavailable
	NoResponse                       // send no response
	InvalidResponse                  // send an invalid response
	NoWatchResponse                  // respond to reads, but not to watches
)

// Store is the stand-in. Its zero value is not usable; call New. It is safe for
// concurrent use.
type Store struct {
	mutex             sync.Mutex
	era               uint64 // from 1, increased by each restore from a copy
	revision          uint64
	items             map[string]Item
	history           []Item // oldest first
	compactedRevision uint64 // highest revision that is no longer in the history
	changed           chan struct{}
	treatments        map[string]Treatment // by caller, "" for all others
	calls             map[string]int       // by caller
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, items: map[string]Item{}, changed: make(chan struct{}), treatments: map[string]Treatment{}, calls: map[string]int{}}
}

// Put writes a key and returns the revision of the change.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.write(Item{Key: key, Value: value})
}

// Remove removes a key and returns the revision of the change.
func (s *Store) Remove(key string) uint64 { return s.write(Item{Key: key, Removed: true}) }

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

func (s *Store) write(item Item) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	item.Revision = s.revision
	s.history = append(s.history, item)
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.notifyChanged()
	return s.revision
}

// notifyChanged wakes waiting watches. Callers hold the mutex.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history and wakes waiting watches. Watches from an earlier
// revision fail from then on.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compactedRevision = s.revision
	s.history = nil
	s.notifyChanged()
}

// SetTreatment sets the treatment of a caller. An empty caller sets it for all callers
// without their own.
func (s *Store) SetTreatment(caller string, treatment Treatment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.treatments[caller] = treatment
	s.notifyChanged()
}

// Admit counts a call and returns the treatment of its caller.
func (s *Store) Admit(caller string) Treatment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[caller]++
	if treatment, own := s.treatments[caller]; own {
		return treatment
	}
	return s.treatments[""]
}

// Calls returns the number of calls by caller.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := make(map[string]int, len(s.calls))
	for caller, count := range s.calls {
		calls[caller] = count
	}
	return calls
}

// Position identifies a state of the store: the revision of the last change, and the era,
// which starts at 1 and is increased by each restore from a copy.
type Position struct{ Era, Revision uint64 }

// position returns the current position. Callers hold the mutex.
func (s *Store) position() Position { return Position{Era: s.era, Revision: s.revision} }

// Snapshot is a snapshot of the store from which it can be restored.
type Snapshot struct {
	revision          uint64
	items             map[string]Item
	history           []Item
	compactedRevision uint64
}

// Snapshot returns a snapshot of the current state.
func (s *Store) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), compactedRevision: s.compactedRevision}
}

// Restore resets the store to a copy and increases the era. Changes made since the copy
// are lost, and their revisions are assigned again.
func (s *Store) Restore(from Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision = from.revision
	s.items = maps.Clone(from.items)
	s.history = slices.Clone(from.history)
	s.compactedRevision = from.compactedRevision
	s.notifyChanged()
}

// Get returns the item of a key, and the store's position.
func (s *Store) Get(key string) (item Item, found bool, at Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found = s.items[key]
	return item, found, s.position()
}

// Range returns up to limit items with a key prefix and a key greater than after,
// ordered by key, and whether there are more.
func (s *Store) Range(prefix, after string, limit int) (items []Item, more bool, at Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > limit {
		return items[:limit], true, s.position()
	}
	return items, false, s.position()
}

// Watch waits for changes of keys with a prefix after a revision, and returns them. It
// returns none when the wait or the context ends first. available is false if changes after
// the revision are no longer in the history, or the revision has not been assigned.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Item, at Position, available bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, at, available, changed := s.changesSince(prefix, after)
		if !available || len(events) > 0 {
			return events, at, available
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, true
		case <-ctx.Done():
			return nil, at, true
		}
	}
}

func (s *Store) changesSince(prefix string, after uint64) (events []Item, at Position, available bool, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.compactedRevision || after > s.revision {
		return nil, s.position(), false, s.changed
	}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.position(), true, s.changed
}

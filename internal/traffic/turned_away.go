package traffic

import (
	"sync"
	"time"

	"sliphead/internal/quarantine"
)

// turnedAway remembers the requests that this node has lately refused or answered with a
// failure. A caller sends such a request once more, under another id: that one is its last
// chance. The time that a caller gives says nothing of it: it differs by more from caller
// to caller than from a first to a second try.
type turnedAway struct {
	mutex            sync.Mutex
	recent, previous map[quarantine.Fingerprint]struct{}
	turned           time.Time // when recent was begun
}

const (
	// turnedAwayFor is for how long a request is remembered, and twice that at most:
	// callers come back within a third of the time that they have left.
	turnedAwayFor = 2 * time.Second

	mostTurnedAway = 1024 // that are remembered, within turnedAwayFor
)

func newTurnedAway() *turnedAway {
	return &turnedAway{recent: map[quarantine.Fingerprint]struct{}{}}
}

// note remembers a request.
func (t *turnedAway) note(request quarantine.Fingerprint, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.turn(now)
	if len(t.recent) < mostTurnedAway {
		t.recent[request] = struct{}{}
	}
}

// any reports whether any request is remembered: without one, none need be told apart.
func (t *turnedAway) any(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.turn(now)
	return len(t.recent)+len(t.previous) > 0
}

// has reports whether a copy of a request was turned away.
func (t *turnedAway) has(request quarantine.Fingerprint, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.turn(now)
	_, recent := t.recent[request]
	_, previous := t.previous[request]
	return recent || previous
}

// turn forgets what was turned away before the last turn. The mutex is held.
func (t *turnedAway) turn(now time.Time) {
	switch passed := now.Sub(t.turned); {
	case passed < turnedAwayFor:
		return
	case passed < 2*turnedAwayFor:
		t.previous = t.recent
	default:
		t.previous = nil
	}
	t.recent = map[quarantine.Fingerprint]struct{}{}
	t.turned = now
}

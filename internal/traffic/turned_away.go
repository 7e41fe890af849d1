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
	recent, previous map[quarantine.Fingerprint]turn
	turned           time.Time // when recent was begun
}

// turn is how a request was turned away.
type turn struct {
	callsFailed bool // its run failed, after calls that it needs had
}

const (
	// turnedAwayFor is for how long a request is remembered, and twice that at most:
	// callers come back within a third of the time that they have left.
	turnedAwayFor = 2 * time.Second

	mostTurnedAway = 1024 // that are remembered, within turnedAwayFor
)

func newTurnedAway() *turnedAway {
	return &turnedAway{recent: map[quarantine.Fingerprint]turn{}}
}

// note remembers a request.
func (t *turnedAway) note(request quarantine.Fingerprint, how turn, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forget(now)
	if len(t.recent) < mostTurnedAway {
		t.recent[request] = how
	}
}

// any reports whether any request is remembered: without one, none need be told apart.
func (t *turnedAway) any(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forget(now)
	return len(t.recent)+len(t.previous) > 0
}

// find reports whether a copy of a request was turned away, and how.
func (t *turnedAway) find(request quarantine.Fingerprint, now time.Time) (how turn, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forget(now)
	if how, found = t.recent[request]; found {
		return how, true
	}
	how, found = t.previous[request]
	return how, found
}

// forget drops what was turned away before the last turn. The mutex is held.
func (t *turnedAway) forget(now time.Time) {
	switch passed := now.Sub(t.turned); {
	case passed < turnedAwayFor:
		return
	case passed < 2*turnedAwayFor:
		t.previous = t.recent
	default:
		t.previous = nil
	}
	t.recent = map[quarantine.Fingerprint]turn{}
	t.turned = now
}

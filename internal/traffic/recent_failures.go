package traffic

import (
	"sync"
	"time"

	"sliphead/internal/quarantine"
)

// recentFailures tracks the requests that this node has recently refused or answered with a
// failure. A caller retries such a request once, under another id, so a copy of a tracked
// request is the caller's last attempt. The caller's deadline cannot show that, because it
// differs more between callers than between a first and a second attempt. It is safe for
// concurrent use.
type recentFailures struct {
	mutex            sync.Mutex
	recent, previous map[quarantine.Fingerprint]failureInfo
	rotated          time.Time // when recent was started
}

// failureInfo describes how a request was refused or failed.
type failureInfo struct {
	callsFailed bool // the run failed after calls that it made had failed
}

const (
	// failureRetention is the minimum time for which a request is tracked; the maximum is
	// twice that. Callers retry within a third of the time that remains to them.
	failureRetention = 2 * time.Second

	maxRecentFailures = 1024 // requests tracked within one failureRetention
)

func newRecentFailures() *recentFailures {
	return &recentFailures{recent: map[quarantine.Fingerprint]failureInfo{}}
}

// record tracks a request. Beyond maxRecentFailures it is dropped.
func (t *recentFailures) record(request quarantine.Fingerprint, failure failureInfo, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rotate(now)
	if len(t.recent) < maxRecentFailures {
		t.recent[request] = failure
	}
}

// any reports whether any request is tracked; otherwise no fingerprint is needed.
func (t *recentFailures) any(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rotate(now)
	return len(t.recent)+len(t.previous) > 0
}

// find reports whether a copy of a request was refused or failed recently, and how.
func (t *recentFailures) find(request quarantine.Fingerprint, now time.Time) (failure failureInfo, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rotate(now)
	if failure, found = t.recent[request]; found {
		return failure, true
	}
	failure, found = t.previous[request]
	return failure, found
}

// rotate starts a new period after failureRetention and drops requests of earlier periods than
// the previous one. The caller holds the mutex.
func (t *recentFailures) rotate(now time.Time) {
	switch passed := now.Sub(t.rotated); {
	case passed < failureRetention:
		return
	case passed < 2*failureRetention:
		t.previous = t.recent
	default:
		t.previous = nil
	}
	t.recent = map[quarantine.Fingerprint]failureInfo{}
	t.rotated = now
}

package traffic

import (
	"sync"
	"time"

	"sliphead/internal/quarantine"
)

// Bounds of the tracked runs at the local worker.
const (
	// abandonedRetention is how long an abandoned run may still crash the worker. It continues
	// if the worker does not notice that its connection was closed.
	abandonedRetention = time.Second

	// brokenRetention is the time within which a new instance in the worker's place means that
	// a run whose connection broke had crashed the previous instance.
	brokenRetention = 5 * time.Second

	// answeredRetention is the minimum time for which a response clears other copies of a
	// request; the maximum is twice that. Otherwise a popular request that runs at three
	// workers when these terminate for another reason, such as a loss of power in a rack, would
	// become suspect.
	answeredRetention = 5 * time.Second

	maxUnfinishedRuns = 64   // abandoned runs, and as many broken ones
	maxAnswered       = 1024 // answered requests within one answeredRetention
)

// unfinishedRun is a run whose result was not observed.
type unfinishedRun struct {
	instance    string
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// unfinishedRuns are the latest such runs, oldest first.
type unfinishedRuns []unfinishedRun

func (p *unfinishedRuns) add(run unfinishedRun) {
	if len(*p) >= maxUnfinishedRuns {
		*p = append((*p)[:0], (*p)[1:]...)
	}
	*p = append(*p, run)
}

// since returns the requests of an instance's runs at or after a time.
func (p unfinishedRuns) since(instance string, from time.Time) []quarantine.Fingerprint {
	var found []quarantine.Fingerprint
	for _, run := range p {
		if run.instance == instance && !run.at.Before(from) {
			found = append(found, run.fingerprint)
		}
	}
	return found
}

// workerRuns tracks recent runs at the local worker by how they ended. It is safe for concurrent
// use.
type workerRuns struct {
	mutex     sync.Mutex
	abandoned unfinishedRuns                      // abandoned before their results
	broken    unfinishedRuns                      // connection broken while the worker accepted others
	recent    map[quarantine.Fingerprint]struct{} // answered
	previous  map[quarantine.Fingerprint]struct{} // answered in the period before
	rotated   time.Time                           // when recent was started
}

func newWorkerRuns() *workerRuns {
	return &workerRuns{recent: map[quarantine.Fingerprint]struct{}{}}
}

// recordAbandoned records a run that was abandoned before its result.
func (w *workerRuns) recordAbandoned(run unfinishedRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.abandoned.add(run)
}

// possiblyRunning returns the abandoned requests that the instance may still be running.
func (w *workerRuns) possiblyRunning(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.abandoned.since(instance, now.Add(-abandonedRetention))
}

// recordBroken records a run whose connection broke while the worker accepts connections.
func (w *workerRuns) recordBroken(run unfinishedRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken.add(run)
}

// recentlyBroken returns the requests whose connections to the instance broke within
// brokenRetention.
func (w *workerRuns) recentlyBroken(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.broken.since(instance, now.Add(-brokenRetention))
}

// recordAnswered records a request that the worker has responded to. Beyond maxAnswered it is
// dropped.
func (w *workerRuns) recordAnswered(fingerprint quarantine.Fingerprint, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	if len(w.recent) < maxAnswered {
		w.recent[fingerprint] = struct{}{}
	}
}

// wasAnswered reports whether the worker has recently responded to a copy of a request.
func (w *workerRuns) wasAnswered(fingerprint quarantine.Fingerprint, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	_, recent := w.recent[fingerprint]
	_, previous := w.previous[fingerprint]
	return recent || previous
}

// rotate starts a new period after answeredRetention and drops requests of earlier periods than
// the previous one. The caller holds the mutex.
func (w *workerRuns) rotate(now time.Time) {
	switch passed := now.Sub(w.rotated); {
	case passed < answeredRetention:
		return
	case passed < 2*answeredRetention:
		w.previous = w.recent
	default:
		w.previous = nil
	}
	w.recent = map[quarantine.Fingerprint]struct{}{}
	w.rotated = now
}

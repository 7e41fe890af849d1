package traffic

import (
	"sync"
	"time"

	"sliphead/internal/quarantine"
)

// Bounds of what is remembered of runs at the local worker.
const (
	// abandonedFor is for how long a run that nobody waits for any more may still end the
	// worker: it goes on where the worker doesn't notice that its connection is closed.
	abandonedFor = time.Second

	// brokenFor is within which time a new instance in the worker's place tells that a run
	// which broke off was the end of the one before.
	brokenFor = 5 * time.Second

	// answeredFor is for how long an answer clears other copies of a request: a popular one
	// that happens to be at three workers that end for other reasons, such as a rack
	// without power, is not suspected. Twice that time at most.
	answeredFor = 5 * time.Second

	mostRuns     = 64   // that are remembered as abandoned, or as broken off
	mostAnswered = 1024 // that are remembered as answered, within answeredFor
)

// pastRun is a run whose end nobody has seen.
type pastRun struct {
	instance    string
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// pastRuns are the last of such runs, oldest first.
type pastRuns []pastRun

func (p *pastRuns) add(run pastRun) {
	if len(*p) >= mostRuns {
		*p = append((*p)[:0], (*p)[1:]...)
	}
	*p = append(*p, run)
}

// since returns the requests that an instance has run since a time.
func (p pastRuns) since(instance string, from time.Time) []quarantine.Fingerprint {
	var found []quarantine.Fingerprint
	for _, run := range p {
		if run.instance == instance && !run.at.Before(from) {
			found = append(found, run.fingerprint)
		}
	}
	return found
}

// workerRuns remembers for a moment what became of runs at the local worker.
type workerRuns struct {
	mutex     sync.Mutex
	abandoned pastRuns // given up before their ends
	broken    pastRuns // broken off while the worker took connections
	recent    map[quarantine.Fingerprint]struct{}
	previous  map[quarantine.Fingerprint]struct{} // the recent ones before
	turned    time.Time                           // when recent was begun
}

func newWorkerRuns() *workerRuns {
	return &workerRuns{recent: map[quarantine.Fingerprint]struct{}{}}
}

// noteAbandoned notes a run that is given up before its end.
func (w *workerRuns) noteAbandoned(run pastRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.abandoned.add(run)
}

// mayStillRun returns the abandoned requests that the instance may be running.
func (w *workerRuns) mayStillRun(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.abandoned.since(instance, now.Add(-abandonedFor))
}

// noteBroken notes a run that broke off while the worker takes connections.
func (w *workerRuns) noteBroken(run pastRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken.add(run)
}

// brokeOff returns the requests that broke off at the instance of late.
func (w *workerRuns) brokeOff(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.broken.since(instance, now.Add(-brokenFor))
}

// noteAnswered notes a request that the worker has answered.
func (w *workerRuns) noteAnswered(fingerprint quarantine.Fingerprint, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.turn(now)
	if len(w.recent) < mostAnswered {
		w.recent[fingerprint] = struct{}{}
	}
}

// wasAnswered reports whether the worker has answered a copy of a request of late.
func (w *workerRuns) wasAnswered(fingerprint quarantine.Fingerprint, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.turn(now)
	_, recent := w.recent[fingerprint]
	_, previous := w.previous[fingerprint]
	return recent || previous
}

// turn forgets what was answered before the last turn. The mutex is held.
func (w *workerRuns) turn(now time.Time) {
	switch passed := now.Sub(w.turned); {
	case passed < answeredFor:
		return
	case passed < 2*answeredFor:
		w.previous = w.recent
	default:
		w.previous = nil
	}
	w.recent = map[quarantine.Fingerprint]struct{}{}
	w.turned = now
}

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

	// doubtedFor is within which time a new instance in the worker's place tells that a run
	// which broke off was the end of the one before.
	doubtedFor = 5 * time.Second

	// answeredFor is for how long an answer clears other copies of a request: a popular one
	// that happens to be at three workers that end for other reasons, such as a rack
	// without power, is not suspected. Twice that time at most.
	answeredFor = 5 * time.Second

	mostRuns     = 64   // that are remembered as abandoned, or as in doubt
	mostAnswered = 1024 // that are remembered as answered, within answeredFor
)

// pastRun is a run whose end nobody has seen.
type pastRun struct {
	instance    string
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// workerRuns remembers for a moment what became of runs at the local worker.
type workerRuns struct {
	mutex    sync.Mutex
	left     []pastRun // abandoned, oldest first
	inDoubt  []pastRun // broken off, oldest first
	recent   map[quarantine.Fingerprint]struct{}
	previous map[quarantine.Fingerprint]struct{} // the recent ones before
	turned   time.Time                           // when recent was begun
}

func newWorkerRuns() *workerRuns {
	return &workerRuns{recent: map[quarantine.Fingerprint]struct{}{}}
}

// abandon notes a run that is given up before its end.
func (w *workerRuns) abandon(instance string, fingerprint quarantine.Fingerprint, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.left = remember(w.left, pastRun{instance, fingerprint, now})
}

// abandoned returns the requests that the instance may still have been running.
func (w *workerRuns) abandoned(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return since(w.left, instance, now.Add(-abandonedFor))
}

// doubt notes a run that broke off while the worker takes connections.
func (w *workerRuns) doubt(instance string, fingerprint quarantine.Fingerprint, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inDoubt = remember(w.inDoubt, pastRun{instance, fingerprint, now})
}

// doubted returns the requests that broke off at the instance of late.
func (w *workerRuns) doubted(instance string, now time.Time) []quarantine.Fingerprint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return since(w.inDoubt, instance, now.Add(-doubtedFor))
}

func remember(runs []pastRun, run pastRun) []pastRun {
	if len(runs) >= mostRuns {
		runs = append(runs[:0], runs[1:]...)
	}
	return append(runs, run)
}

func since(runs []pastRun, instance string, from time.Time) []quarantine.Fingerprint {
	var found []quarantine.Fingerprint
	for _, run := range runs {
		if run.instance == instance && !run.at.Before(from) {
			found = append(found, run.fingerprint)
		}
	}
	return found
}

// answered notes a request that the worker has answered.
func (w *workerRuns) answered(fingerprint quarantine.Fingerprint, now time.Time) {
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

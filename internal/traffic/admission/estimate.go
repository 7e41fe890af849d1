package admission

import "time"

// estimate is a moving average of service times. It is forgotten when nothing
// was observed for a while: else a class that is refused on a bad estimate
// could never correct it.
type estimate struct {
	mean  time.Duration
	since time.Time
}

const (
	estimateWeight = 8 // one observation counts one in so many
	forgetAfter    = 5 * time.Second
)

func (e *estimate) add(observed time.Duration, now time.Time) {
	if e.at(now) == 0 {
		e.mean = observed
	} else {
		e.mean += (observed - e.mean) / estimateWeight
	}
	e.since = now
}

func (e *estimate) at(now time.Time) time.Duration {
	if now.Sub(e.since) > forgetAfter {
		return 0
	}
	return e.mean
}

// Forecast returns the expected wait of a request of the class that arrives
// now, and how long it is expected to run, 0 when that is not known.
func (q *Queue[W]) Forecast(class Class, now time.Time) (wait, run time.Duration) {
	if !q.Free() {
		wait = q.predict(class, now)
	}
	return wait, q.service[class].at(now)
}

// predict returns the expected wait of a request of the class that arrives
// now: until the first of the running ones ends, which are taken to be evenly
// spread over their time, and then the work queued ahead of it over the slots.
func (q *Queue[W]) predict(class Class, now time.Time) time.Duration {
	var ahead, running time.Duration
	for other := range q.waiting {
		mean := q.service[other].at(now)
		if Class(other) <= class {
			ahead += mean * time.Duration(q.waiting[other].Len())
		}
		running += mean * time.Duration(q.busy[other])
	}
	slots := time.Duration(max(1, q.settings.Slots))
	first := running / time.Duration(max(1, q.running)) / (slots + 1)
	return first + ahead/slots
}

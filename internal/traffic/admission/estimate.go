package admission

import "time"

// estimate is an exponentially weighted moving average of run times. It expires when
// nothing was observed for estimateExpiry; otherwise a class that is rejected because of a
// bad estimate could never correct it.
type estimate struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation, as in RFC 6298
	updated   time.Time
}

const (
	estimateWeight = 16 // each observation has a weight of 1/estimateWeight
	estimateExpiry = 5 * time.Second
)

func (e *estimate) add(observed time.Duration, now time.Time) {
	if e.meanAt(now) == 0 {
		*e = estimate{mean: observed}
	} else {
		e.deviation += ((observed - e.mean).Abs() - e.deviation) / estimateWeight
		e.mean += (observed - e.mean) / estimateWeight
	}
	e.updated = now
}

func (e *estimate) meanAt(now time.Time) time.Duration {
	if now.Sub(e.updated) > estimateExpiry {
		return 0
	}
	return e.mean
}

// maxKinds bounds the number of run time estimates; when it is reached, all are discarded.
const maxKinds = 512

// estimateKey returns the key of the kind's estimate: named kinds share one estimate across
// classes.
func (k kind) estimateKey() kind {
	if k.name != "" {
		k.class = 0
	}
	return k
}

// observeRun records the run time of a request.
func (q *Queue[W]) observeRun(of kind, ran time.Duration, now time.Time) {
	of = of.estimateKey()
	current := q.runEstimates[of]
	if current == nil {
		if len(q.runEstimates) >= maxKinds {
			clear(q.runEstimates)
		}
		current = &estimate{}
		q.runEstimates[of] = current
	}
	current.add(ran, now)
}

// expectedRun returns the mean run time of a kind, 0 if there is no estimate.
func (q *Queue[W]) expectedRun(of kind, now time.Time) time.Duration {
	if current := q.runEstimates[of.estimateKey()]; current != nil {
		return current.meanAt(now)
	}
	return 0
}

// conservativeRun returns the mean run time of a kind plus its mean deviation, 0 if there
// is no estimate.
func (q *Queue[W]) conservativeRun(of kind, now time.Time) time.Duration {
	run := q.expectedRun(of, now)
	if run == 0 {
		return 0
	}
	return run + q.runEstimates[of.estimateKey()].deviation
}

// decrementBusy removes one request from the running requests of a kind.
func (q *Queue[W]) decrementBusy(of kind) {
	q.busy[of]--
	if q.busy[of] == 0 {
		delete(q.busy, of)
	}
}

// Forecast returns the expected wait of a request of the class that arrives now, from a
// tenant that has not exceeded its fair share, and the expected run time of its kind, 0 if
// there is no estimate.
func (q *Queue[W]) Forecast(class Class, name string, now time.Time) (wait, run time.Duration) {
	if !q.Free(now) {
		wait = q.predict(class, q.fair.virtual, now)
	}
	return wait, q.expectedRun(kind{class, name}, now)
}

// predict returns the expected wait of a request that arrives now, by its class and virtual
// start.
func (q *Queue[W]) predict(class Class, start float64, now time.Time) time.Duration {
	first := q.firstGrant(now)
	_, queued := q.insertPosition(class, start, kind{}, first, now)
	return first + queued
}

// firstGrant is the expected time until a slot is free and the rate limit allows a grant.
func (q *Queue[W]) firstGrant(now time.Time) time.Duration {
	if q.RateLimited(now) {
		return q.rate.wait(now)
	}
	return max(q.firstEnd(now), q.rate.wait(now))
}

// firstEnd is the expected time until the first running request ends, assuming that the
// ends of the runs are spread evenly.
func (q *Queue[W]) firstEnd(now time.Time) time.Duration {
	var running time.Duration
	for of, count := range q.busy {
		running += q.expectedRun(of, now) * time.Duration(count)
	}
	return running / time.Duration(max(1, q.running)) / (q.slots() + 1)
}

// slots returns the number of slots as a divisor: at least 1.
func (q *Queue[W]) slots() time.Duration { return time.Duration(max(1, q.settings.Slots)) }

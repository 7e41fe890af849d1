package balance

import (
	"math"
	"time"
)

// Run is how long requests of one route take at an endpoint, once they have a
// slot. Such times spread by factors, so their logarithm is taken to be normal.
type Run struct {
	Mean   time.Duration // 0: not known
	Spread float64       // standard deviation of the logarithm; 0: not known
}

// usualSpread stands in for a spread that is not known: two thirds of the runs
// are then within a factor of 1.6 of the usual one.
const usualSpread = 0.5

// within is the share of runs that end in a time. Of runs that nothing is known
// of, all do: an endpoint that nobody knows is tried.
func (r Run) within(limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	if r.Mean <= 0 {
		return 1
	}
	spread := r.Spread
	if spread <= 0 {
		spread = usualSpread
	}
	median := float64(r.Mean) * math.Exp(-spread*spread/2)
	return math.Erfc(-math.Log(float64(limit)/median)/(spread*math.Sqrt2)) / 2
}

// lateCredit is what an answer after the objective is worth, in parts of one in
// time. Callers differ in it; some part of the whole is all that is assumed.
const lateCredit = 0.2

// credit is what a request may expect that waits and then runs: the share of
// answers within the objective, and a part of those that come later.
func credit(need Need, wait time.Duration, run Run) float64 {
	if need.Objective <= 0 {
		return 1
	}
	inTime := run.within(need.Objective - wait)
	if need.Deadline <= 0 {
		return inTime
	}
	return inTime + lateCredit*max(0, run.within(need.Deadline-wait)-inTime)
}

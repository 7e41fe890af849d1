package balance

import (
	"math"
	"time"
)

// runSpread is the standard deviation of the logarithm of how long requests of one
// route take at an endpoint, once they have a slot: such times spread by factors,
// here two thirds of them by 1.6 at most. It is the same for all: a spread learnt by
// route and endpoint chose worse (docs/design/decisions-under-load.md).
const runSpread = 0.5

// within is the share of runs of a mean that end in a time. Of runs that nothing is
// known of, all do: an endpoint that nobody knows is tried.
func within(mean, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	if mean <= 0 {
		return 1
	}
	median := float64(mean) * math.Exp(-runSpread*runSpread/2)
	return math.Erfc(-math.Log(float64(limit)/median)/(runSpread*math.Sqrt2)) / 2
}

// lateCredit is what an answer after the objective is worth, in parts of one in
// time. Callers differ in it; some part of the whole is all that is assumed.
const lateCredit = 0.2

// credit is what a request may expect that waits and then runs: the share of
// answers within the objective, and a part of those that come later.
func credit(need Need, wait, run time.Duration) float64 {
	if need.Objective <= 0 {
		return 1
	}
	inTime := within(run, need.Objective-wait)
	if need.Deadline <= 0 {
		return inTime
	}
	return inTime + lateCredit*max(0, within(run, need.Deadline-wait)-inTime)
}

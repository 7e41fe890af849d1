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
	place := float64(limit) / float64(mean) * sharesPerMean
	if place >= shareCount-1 {
		return 1
	}
	below := int(place)
	return shares[below] + (place-float64(below))*(shares[below+1]-shares[below])
}

// The shares stand in a table, since each choice asks for them twice an endpoint: the
// exact function took 60 % of a choice among 58 endpoints. Between two places they are
// taken to rise evenly, which is off by less than 0.001.
const (
	sharesPerMean = 64 // places of the table for each mean
	mostMeans     = 8  // beyond so many times the mean, all runs have ended but for 0.00001
	shareCount    = sharesPerMean*mostMeans + 1
)

var shares = sharesOfRuns()

// sharesOfRuns returns the shares of runs that end within the places of the table.
func sharesOfRuns() (table [shareCount]float64) {
	median := math.Exp(-runSpread * runSpread / 2) // of a mean of one
	for place := 1; place < shareCount; place++ {
		limit := float64(place) / sharesPerMean
		table[place] = math.Erfc(-math.Log(limit/median)/(runSpread*math.Sqrt2)) / 2
	}
	return table
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

package balance

import (
	"math"
	"time"
)

// runSpread is the standard deviation of the logarithm of a route's run times at an
// endpoint (log-normal distribution): two thirds of them are within a factor of 1.6 of the
// median. One value is used for all; estimating it by route and endpoint gave worse choices
// (docs/design/decisions-under-load.md).
const runSpread = 0.5

// shareWithin returns the share of runs with the given mean that end within limit. It is 1
// if the mean is unknown (0), so that endpoints without observations are tried.
func shareWithin(mean, limit time.Duration) float64 {
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
	return runShares[below] + (place-float64(below))*(runShares[below+1]-runShares[below])
}

// The shares are looked up in a table, twice for each endpoint and choice, because the exact
// function took 60 % of the time of a choice among 58 endpoints. Linear interpolation keeps
// the error below 0.001.
const (
	sharesPerMean = 64 // table entries for each multiple of the mean
	maxMeans      = 8  // runs longer than this multiple of the mean are ignored: a share of 0.00001
	shareCount    = sharesPerMean*maxMeans + 1
)

var runShares = newRunShares()

// newRunShares returns the table: entry i is the share of runs that end within
// i/sharesPerMean of the mean.
func newRunShares() (table [shareCount]float64) {
	median := math.Exp(-runSpread * runSpread / 2) // for a mean of 1
	for place := 1; place < shareCount; place++ {
		limit := float64(place) / sharesPerMean
		table[place] = math.Erfc(-math.Log(limit/median)/(runSpread*math.Sqrt2)) / 2
	}
	return table
}

// lateCredit is the value of a response after the objective, relative to one in time.
// Callers differ in how much a late response is worth to them; only that it is a part of
// the whole is assumed.
const lateCredit = 0.2

// credit is the expected value of a request with the given wait and expected run time, 0 to
// 1: the share of responses within the objective plus lateCredit for those within the
// deadline.
func credit(need Need, wait, run time.Duration) float64 {
	if need.Objective <= 0 {
		return 1
	}
	inTime := shareWithin(run, need.Objective-wait)
	if need.Deadline <= 0 {
		return inTime
	}
	return inTime + lateCredit*max(0, shareWithin(run, need.Deadline-wait)-inTime)
}

package balance

import (
	"math"
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/closing"
)

// Need describes a request to the balancer.
type Need struct {
	Route        string
	Objective    time.Duration // within which a response has its full value; 0: none
	Deadline     time.Duration // after which a response is of no use; 0: none
	Kilobytes    float64       // of the request
	RoundTrips   int           // round trips until the response has arrived: 2 if the body is sent on request; 0 counts as 1
	Rejected     bool          // whether an endpoint has rejected it for lack of capacity
	StayInZone   bool          // whether it must stay in the own zone
	Urgency      closing.Urgency
	FinalAttempt bool // whether its caller will not retry: endpoints that asked for no more requests are used when no other is left
}

// The parts of an endpoint's price, relative to the value of a request (1).
const (
	responseTimeWeight = 0.05  // for the response time relative to the objective: a slot is free again sooner
	crossingPrice      = 0.02  // for leaving the zone, in addition to the bytes
	bytePrice          = 0.035 // for each kilobyte that leaves the zone: with crossingPrice, 2 kB are sent to another zone if this makes 1 in 11 more responses arrive in time
	queuePrice         = 0.05  // for waiting for a slot
	lapsedPrice        = 0.1   // for an endpoint whose store record was removed without notice of leaving
	failingPrice       = 100   // for an endpoint that is backed off
	pausedPrice        = 50    // for one that asked for no more requests, if the caller will not retry
	noise              = 0.02  // maximum random addition, so that nodes do not all choose the same endpoint
	inTimeProbability  = 0.5   // minimum share of in-time responses at which an endpoint counts as in time
)

// linkSecondPrice is the price of a second of the machine's link: bytes to and from other
// nodes use capacity that other requests need too. On links of 5 Mbit/s in an overload,
// 12.5 left 16.8 % of the requests late or unserved, 25 15.2 % and 100 14.5 %; 50 lies
// between, so that a busy local worker is still passed over for a free one at another node.
const linkSecondPrice = 50

// linkPrice is the price of a kilobyte sent to or received from another node.
func (s *Settings) linkPrice() float64 {
	const megabitsPerKilobyte = 0.008
	if s.LinkMbps <= 0 {
		return 0
	}
	return linkSecondPrice * megabitsPerKilobyte / s.LinkMbps
}

// Choice is the result of Cheapest.
type Choice struct {
	Index          int  // of the endpoint, -1 if there is none
	HasAlternative bool // whether an alternative endpoint with a free slot would cost less than waiting at this one
	// LateHere is set if the response is expected after the objective there, but in time
	// at an alternative endpoint with a higher price.
	LateHere bool
	// ResumesAfter is the time until the first endpoint that asked for no more requests takes
	// them again, 0 if none has asked.
	ResumesAfter time.Duration
}

// Cheapest returns the endpoint with the lowest expected cost and counts the request as in
// flight there until Ended. It skips excluded indices, endpoints that asked for no more
// requests (unless need.FinalAttempt), unresponsive nodes except for an occasional probe, regions
// that are unreachable, and, after a rejection, other zones that are unlikely to have
// capacity.
func (b *Balancer) Cheapest(now time.Time, need Need, endpoints []snapshot.Endpoint, excluded []int) Choice {
	choice := Choice{Index: -1}
	best, second := math.Inf(1), math.Inf(1)
	alternativeInTime := false
	var chosen estimate
	for index := range endpoints {
		if slices.Contains(excluded, index) || b.isSkipped(now, need, &endpoints[index]) {
			continue
		}
		expected := b.estimate(need, &endpoints[index], now)
		if expected.state.isUnreachable(now) {
			continue
		}
		paused := expected.state.pausedUntil[need.Urgency].Sub(now)
		if paused > 0 {
			choice.recordPaused(paused)
		}
		if paused > 0 && !need.FinalAttempt {
			continue
		}
		price, free := b.price(now, need, &endpoints[index], expected)
		if paused > 0 {
			price += pausedPrice
			free = false
		}
		alternativeInTime = alternativeInTime || free && expected.inTime(need)
		if price < best {
			if free || choice.Index >= 0 && chosen.free && !chosen.state.isBackedOff(now) {
				second = min(second, best)
			}
			choice.Index, best, chosen = index, price, expected
		} else if free {
			second = min(second, price)
		}
	}
	if choice.Index < 0 {
		return choice
	}
	choice.LateHere = alternativeInTime && !chosen.inTime(need)
	choice.HasAlternative = second < best+b.waitPrice(need, &endpoints[choice.Index], chosen)
	chosen.state.inFlight++
	chosen.state.used = now
	b.recordAttempt(&endpoints[choice.Index])
	b.prune(now)
	return choice
}

// recordPaused records that an endpoint takes no such requests for a time.
func (c *Choice) recordPaused(paused time.Duration) {
	if c.ResumesAfter == 0 || paused < c.ResumesAfter {
		c.ResumesAfter = paused
	}
}

// estimate is the expected cost in time of a request at an endpoint.
type estimate struct {
	state *endpointState
	wait  time.Duration // for the network, for the link, and for a slot if none is free
	run   time.Duration
	free  bool // whether a slot is free
}

func (b *Balancer) estimate(need Need, endpoint *snapshot.Endpoint, now time.Time) estimate {
	state := b.stateOf(*endpoint, now)
	expected := estimate{state: state, run: b.expectedRun(state, need, now), wait: b.networkTime(need, endpoint) + state.linkWait(need.Route, now)}
	occupied := b.occupied(state, now)
	expected.free = occupied < float64(max(1, endpoint.Slots))
	if !expected.free {
		expected.wait += b.queueWait(state, endpoint, need.Route, occupied, expected.run, now)
	}
	return expected
}

// inTime reports whether the response is likely to arrive within the objective.
func (e estimate) inTime(need Need) bool {
	return need.Objective <= 0 || shareWithin(e.run, need.Objective-e.wait) >= inTimeProbability
}

// linkWait is the remaining part of the reported wait for the link.
func (s *endpointState) linkWait(route string, now time.Time) time.Duration {
	reported := s.forecasts[route]
	return max(0, reported.link-now.Sub(reported.at))
}

// Release undoes a choice to which no request was sent, without an observation of the
// endpoint.
func (b *Balancer) Release(now time.Time, endpoint snapshot.Endpoint) {
	state := b.stateOf(endpoint, now)
	state.inFlight = max(0, state.inFlight-1)
	b.recordRelease(&endpoint)
}

// price is the expected cost of a request at an endpoint; free reports whether a slot is
// expected to be free there.
func (b *Balancer) price(now time.Time, need Need, endpoint *snapshot.Endpoint, expected estimate) (price float64, free bool) {
	free = expected.free
	price = b.loss(need, expected.wait, expected.run) + expected.state.rejectionPrice(now)
	if !free {
		price += queuePrice
	}
	if !endpoint.Local {
		price += (need.Kilobytes + b.responseKilobytes(need.Route)) * b.settings.linkPrice()
	}
	if endpoint.Zone != b.settings.Zone {
		price += crossingPrice + (need.Kilobytes+b.responseKilobytes(need.Route))*bytePrice*b.byteFactor(endpoint)
	}
	if endpoint.Lapsed {
		price += lapsedPrice
	}
	if expected.state.isBackedOff(now) {
		price += failingPrice
		free = false
	}
	if !endpoint.Local {
		price += noise * b.random.Float64()
	}
	return price, free
}

// byteFactor is the price of a byte to an endpoint of another zone, relative to one within
// the region.
func (b *Balancer) byteFactor(endpoint *snapshot.Endpoint) float64 {
	if !b.isRemote(endpoint) {
		return 1
	}
	return max(1, b.settings.RemoteByteFactor)
}

// isBackedOff reports whether the endpoint is backed off, or is being probed by one request
// after its last failure.
func (s *endpointState) isBackedOff(now time.Time) bool {
	return now.Before(s.backoffUntil) || s.failures > 0 && s.inFlight > 0
}

// isUnreachable reports whether the endpoint's node was unresponsive and must not be tried
// now: a request there would use up its time without a response.
func (s *endpointState) isUnreachable(now time.Time) bool { return s.unreachable && s.isBackedOff(now) }

// loss is the price of a wait and a run: the credit lost plus the time spent. Without an
// objective it is the time in seconds.
func (b *Balancer) loss(need Need, wait, run time.Duration) float64 {
	if need.Objective <= 0 {
		return (wait + run).Seconds()
	}
	const maxParts = 2
	part := float64(wait+run) / float64(need.Objective)
	return 1 - credit(need, wait, run) + responseTimeWeight*min(part, maxParts)
}

// waitPrice is the additional price of waiting for one slot at an endpoint.
func (b *Balancer) waitPrice(need Need, endpoint *snapshot.Endpoint, expected estimate) float64 {
	wait := expected.run / time.Duration(max(1, endpoint.Slots))
	return queuePrice + b.loss(need, wait, expected.run) - b.loss(need, 0, expected.run)
}

// occupied is the number of requests that hold or wait for a slot at an endpoint: this
// node's requests and the last reported number of others, which decays with age.
func (b *Balancer) occupied(state *endpointState, now time.Time) float64 {
	return float64(state.inFlight) + b.reportedOthers(state, now)
}

// forecast is what an endpoint's node reported for the requests of one route.
type forecast struct {
	wait, run time.Duration
	link      time.Duration // wait before the node requests a body
	at        time.Time
}

// maxForecasts bounds the routes tracked for one endpoint; when it is reached, all are
// discarded.
const maxForecasts = 512

func (s *endpointState) setForecast(route string, load Load, now time.Time) {
	if s.forecasts == nil || len(s.forecasts) >= maxForecasts {
		s.forecasts = map[string]forecast{}
	}
	s.forecasts[route] = forecast{wait: load.Wait, run: load.Run, link: load.Link, at: now}
}

// expectedRun is the expected run time at an endpoint: the reported one if it is recent,
// otherwise the typical one of the route. An endpoint without own requests in flight is
// assumed to be faster than that, so that faster endpoints are discovered, with one request
// at a time.
func (b *Balancer) expectedRun(state *endpointState, need Need, now time.Time) time.Duration {
	reported := state.forecasts[need.Route]
	if reported.run > 0 && now.Sub(reported.at) < runExpiry {
		return reported.run
	}
	expected := float64(b.typicalLatency[need.Route]) * state.slownessAt(now)
	if state.inFlight == 0 {
		expected *= unknownRunFactor
	}
	return time.Duration(expected)
}

// unknownRunFactor is the part of the typical run time that is assumed for an endpoint
// without a recent report.
const unknownRunFactor = 0.5

// runExpiry is the time after which a reported run time is ignored.
const runExpiry = 10 * time.Second

// reportedWait is the remaining part of the wait that the endpoint reported for the route.
// In other zones the reported wait starts to shrink only after remoteWaitHold, because
// trying a busy endpoint again costs bytes between zones.
func (b *Balancer) reportedWait(state *endpointState, route string, endpoint *snapshot.Endpoint, now time.Time) time.Duration {
	reported := state.forecasts[route]
	age := now.Sub(reported.at)
	if endpoint.Zone != b.settings.Zone {
		age -= remoteWaitHold
	}
	return max(0, reported.wait-max(0, age))
}

// remoteWaitHold is the time for which a wait reported in another zone is assumed to stay
// the same.
const remoteWaitHold = 150 * time.Millisecond

// queueWait is the expected wait for a slot, given the number of requests that hold or wait
// for one.
func (b *Balancer) queueWait(state *endpointState, endpoint *snapshot.Endpoint, route string, occupied float64, run time.Duration, now time.Time) time.Duration {
	slots := float64(max(1, endpoint.Slots))
	ahead := occupied - slots + 1
	estimated := time.Duration(ahead / slots * float64(run))
	return max(estimated, b.reportedWait(state, route, endpoint, now))
}

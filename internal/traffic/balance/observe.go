package balance

import (
	"math"
	"time"

	"sliphead/internal/snapshot"
)

const (
	observationWeight = 8                // one observation counts one in so many
	slownessLife      = 10 * time.Second // over which an old observation fades
	leastSlowness     = 0.5
	mostSlowness      = 50
)

// Ended ends a request that was counted by Pick and learns from it.
func (b *Balancer) Ended(now time.Time, route string, endpoint snapshot.Endpoint, seen Observation) {
	held := b.stateOf(endpoint, now)
	held.inFlight = max(0, held.inFlight-1)
	if seen.Loaded {
		held.load = seen.Load
		held.loadAt = now
		held.closedUntil[seen.Urgency] = now.Add(seen.Load.Closed)
		held.tell(route, seen.Load, now)
	}
	if endpoint.Zone != b.settings.Zone && (seen.Refused || !seen.Failed) {
		b.noteRoom(now, endpoint.Zone, route, !seen.Refused)
	}
	b.noteRoundTrip(now, &endpoint, seen.RoundTrip)
	b.noteReach(now, &endpoint, seen)
	held.unreachable = seen.Failed && seen.Unreachable
	if seen.Failed {
		b.failed(held, now)
		return
	}
	held.failures = 0
	held.backoffUntil = time.Time{}
	if seen.Kilobytes > 0 {
		b.learnSize(route, seen.Kilobytes)
	}
	if seen.Latency > 0 {
		b.learn(route, held, seen.Latency, now)
	}
}

// failed backs off exponentially, with jitter so that nodes don't come back to
// an endpoint at once.
func (b *Balancer) failed(held *state, now time.Time) {
	held.backoffUntil = now.Add(b.pause(held.failures))
	held.failures++
}

// pause is for how long something is left alone that has failed before so many times.
func (b *Balancer) pause(failures int) time.Duration {
	const mostDoublings = 16
	wait := b.settings.BackoffFirst << min(failures, mostDoublings)
	wait = min(wait, b.settings.BackoffMost)
	return wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
}

// learn compares an answer's time with what is typical for the route, so that
// routes of different lengths don't blur the picture of an endpoint.
func (b *Balancer) learn(route string, held *state, latency time.Duration, now time.Time) {
	typical := b.typical[route]
	if typical == 0 {
		b.typical[route] = latency
		return
	}
	b.typical[route] = typical + (min(latency, typical*2)-typical)/observationWeight/2
	ratio := min(mostSlowness, max(leastSlowness, float64(latency)/float64(typical)))
	current := held.slownessAt(now)
	held.slowness = current + (ratio-current)/observationWeight
	held.observed = now
}

// learnSize takes in how large an answer was.
func (b *Balancer) learnSize(route string, kilobytes float64) {
	known, found := b.sizes[route]
	if !found {
		known = kilobytes
	}
	b.sizes[route] = known + (kilobytes-known)/observationWeight
}

// usualAnswer stands in for the kilobytes of an answer that none was seen of.
const usualAnswer = 2

func (b *Balancer) answerSize(route string) float64 {
	if known, found := b.sizes[route]; found {
		return known
	}
	return usualAnswer
}

// slownessAt lets an observation fade to 1, so that an endpoint that was slow
// is tried again.
func (s *state) slownessAt(now time.Time) float64 {
	age := now.Sub(s.observed)
	if age <= 0 {
		return s.slowness
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(age)/float64(slownessLife))
}

// cost is the expected time at the endpoint in units of a typical run.
func (b *Balancer) cost(endpoint snapshot.Endpoint, held *state, now time.Time) float64 {
	waiting := float64(held.inFlight + 1)
	waiting += b.reported(held, now)
	waiting /= float64(max(1, endpoint.Slots))
	return waiting * held.slownessAt(now) / b.warmth(endpoint, now)
}

// reported is what others have running there, by its last report; it fades
// within the report's life.
func (b *Balancer) reported(held *state, now time.Time) float64 {
	age := now.Sub(held.loadAt)
	if age >= b.settings.ReportLife {
		return 0
	}
	others := max(0, held.load.Busy+held.load.Queued-held.inFlight)
	return float64(others) * (1 - float64(age)/float64(b.settings.ReportLife))
}

// saturated reports whether the endpoint has no free slot. What others have
// running is rounded: a report of full would else count for no time at all.
func (b *Balancer) saturated(endpoint snapshot.Endpoint, held *state, now time.Time) bool {
	return float64(held.inFlight)+math.Round(b.reported(held, now)) >= float64(max(1, endpoint.Slots))
}

// warmth rises from a tenth to one over the slow start.
func (b *Balancer) warmth(endpoint snapshot.Endpoint, now time.Time) float64 {
	const coldest = 0.1
	if endpoint.ReadySince.IsZero() || b.settings.SlowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(endpoint.ReadySince)) / float64(b.settings.SlowStart)
	return min(1, max(coldest, share))
}

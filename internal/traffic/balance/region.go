package balance

import (
	"time"

	"sliphead/internal/snapshot"
)

// A region that is cut off has many endpoints, and each of them would be found out by
// requests of its own that wait for a sign. So other regions are also judged as a whole:
// after a few endpoints in a row that gave no sign of life, one request at a time goes
// there to find out, at growing intervals. A first sign makes the region count again; its
// endpoints come back one by one, as each of them is backed off for itself, so that no wave
// of requests follows.

// silentEndpoints is how many tries in a row have to meet silence in a region before it is
// taken for lost: more than the machines that usually fail together there.
const silentEndpoints = 3

// reach is what is known of the way to another region.
type reach struct {
	silent int // tries in a row without a sign of life
	until  time.Time
	trying bool // whether a request finds out just now
}

// noteReach takes in whether an endpoint of another region gave a sign of life, or none in
// time.
func (b *Balancer) noteReach(now time.Time, endpoint *snapshot.Endpoint, seen Observation) {
	if !b.isFar(endpoint) {
		return
	}
	known := b.reaches[endpoint.Region]
	known.trying = false
	switch {
	case seen.RoundTrip > 0 || seen.Loaded:
		known = reach{}
	case seen.Unreachable: // not so a try that its caller or its deadline ended: it shows nothing
		known.silent++
		if known.silent >= silentEndpoints {
			known.until = now.Add(b.pause(known.silent - silentEndpoints))
		}
	}
	b.reaches[endpoint.Region] = known
}

// isLost reports whether an endpoint's region is taken for lost and not to be tried now.
func (b *Balancer) isLost(now time.Time, endpoint *snapshot.Endpoint) bool {
	if !b.isFar(endpoint) {
		return false
	}
	known := b.reaches[endpoint.Region]
	return b.Lost(endpoint.Region) && (known.trying || now.Before(known.until))
}

// Lost reports whether a region is taken for lost.
func (b *Balancer) Lost(region string) bool { return b.reaches[region].silent >= silentEndpoints }

// noteTry takes in that a request goes to an endpoint.
func (b *Balancer) noteTry(endpoint *snapshot.Endpoint) {
	if !b.isFar(endpoint) {
		return
	}
	known := b.reaches[endpoint.Region]
	known.trying = b.Lost(endpoint.Region)
	b.reaches[endpoint.Region] = known
}

// noteReleased takes in that a request did not go to an endpoint after all.
func (b *Balancer) noteReleased(endpoint *snapshot.Endpoint) {
	if known, held := b.reaches[endpoint.Region]; held {
		known.trying = false
		b.reaches[endpoint.Region] = known
	}
}

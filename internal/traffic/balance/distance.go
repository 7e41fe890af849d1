package balance

import (
	"time"

	"sliphead/internal/snapshot"
)

// Distances are measured, not told: the least time from a request to the first sign of the
// node, or of opening a connection to it, is the round trip, and what is beyond it waited
// for a processor or a link. Nodes of one zone are equally far, so one of them speaks for
// all. Names of regions say only what holds until something was measured.

const (
	// roundTripWindow is for how long a least round trip counts, and once more as the one
	// of the window before: so a way that has become longer is known within a minute.
	roundTripWindow = 30 * time.Second
	// unknownRoundTrip is taken for a region that no round trip is known of: regions of one
	// continent are 10 to 100 ms apart there and back.
	unknownRoundTrip = 50 * time.Millisecond
	// mostDistances is how many zones are remembered; beyond, all are learnt anew.
	mostDistances = 1024
)

// distance is the least round trip to a zone or a region in this window and in the last; 0:
// none was measured.
type distance struct {
	least, before time.Duration
	since         time.Time
}

// add returns the distance with one more round trip.
func (d distance) add(took time.Duration, now time.Time) distance {
	if now.Sub(d.since) >= roundTripWindow {
		d.before, d.least, d.since = d.least, 0, now
	}
	if d.least == 0 || took < d.least {
		d.least = took
	}
	return d
}

func (d distance) roundTrip() time.Duration {
	if d.least == 0 || d.before > 0 && d.before < d.least {
		return d.before
	}
	return d.least
}

// place names what distances are learnt of; an empty zone stands for the whole region.
type place struct{ zone, region string }

// noteRoundTrip takes in how long a sign of an endpoint's node took.
func (b *Balancer) noteRoundTrip(now time.Time, endpoint *snapshot.Endpoint, took time.Duration) {
	if took <= 0 || endpoint.Zone == b.settings.Zone {
		return
	}
	if len(b.distances) >= mostDistances {
		clear(b.distances)
	}
	for _, of := range []place{{endpoint.Zone, endpoint.Region}, {"", endpoint.Region}} {
		b.distances[of] = b.distances[of].add(took, now)
	}
}

// RoundTrip returns how long a message to an endpoint's node and its answer are on the way,
// and whether that was measured, be it to another node of its zone or region. In the own
// zone it is taken for nothing: all that is known of it stands in the times of runs.
func (b *Balancer) RoundTrip(endpoint *snapshot.Endpoint) (took time.Duration, measured bool) {
	if endpoint.Zone == b.settings.Zone {
		return 0, true
	}
	for _, of := range []place{{endpoint.Zone, endpoint.Region}, {"", endpoint.Region}} {
		if known := b.distances[of].roundTrip(); known > 0 {
			return known, true
		}
	}
	if b.isFar(endpoint) {
		return unknownRoundTrip, false
	}
	return 0, false
}

// IsFar reports whether an endpoint is in another region than a node's. One of which no
// region is known counts as near: its distance is measured all the same.
func IsFar(zone, region string, endpoint *snapshot.Endpoint) bool {
	return endpoint.Zone != zone && endpoint.Region != "" && endpoint.Region != region
}

// isFar reports whether an endpoint is in another region.
func (b *Balancer) isFar(endpoint *snapshot.Endpoint) bool {
	return IsFar(b.settings.Zone, b.settings.Region, endpoint)
}

// onTheWay is how long a request and its answer are on the way to an endpoint and back. A
// body that goes out only once it is asked for takes the way twice.
func (b *Balancer) onTheWay(need Need, endpoint *snapshot.Endpoint) time.Duration {
	took, _ := b.RoundTrip(endpoint)
	return time.Duration(max(1, need.Trips)) * took
}

// mostOnTheWay is the part of the time left that may be spent on the way: no node is waited
// for longer without a sign, since the rest is left for a near one.
const mostOnTheWay = 2

// isTooFar reports whether the way to an endpoint takes too much of the time that is left.
func (b *Balancer) isTooFar(need Need, endpoint *snapshot.Endpoint) bool {
	return need.Deadline > 0 && b.onTheWay(need, endpoint) >= need.Deadline/mostOnTheWay
}

package balance

import (
	"time"

	"sliphead/internal/snapshot"
)

// Distances are measured, not configured. The minimum time from a request to the first
// acknowledgement of the node, or for opening a connection to it, is the round trip time;
// anything above it was spent waiting for a processor or a link. Nodes of one zone are
// assumed to be at the same distance. Region names matter only until a round trip has been
// measured.

const (
	// roundTripWindow is the time over which the minimum is taken; the minimum of the
	// previous window counts too. A path that has become longer is therefore detected
	// within a minute.
	roundTripWindow = 30 * time.Second
	// unknownRoundTrip is assumed for a region without measurements: round trips between
	// regions of one continent take 10 to 100 ms.
	unknownRoundTrip = 50 * time.Millisecond
	// maxDistances bounds the tracked zones and regions; when it is reached, all are
	// discarded and measured again.
	maxDistances = 1024
)

// distance holds the minimum round trip to a zone or region in the current and in the
// previous window; 0: none measured.
type distance struct {
	minimum, previous time.Duration
	since             time.Time
}

// add returns the distance with one more measured round trip.
func (d distance) add(took time.Duration, now time.Time) distance {
	if now.Sub(d.since) >= roundTripWindow {
		d.previous, d.minimum, d.since = d.minimum, 0, now
	}
	if d.minimum == 0 || took < d.minimum {
		d.minimum = took
	}
	return d
}

func (d distance) roundTrip() time.Duration {
	if d.minimum == 0 || d.previous > 0 && d.previous < d.minimum {
		return d.previous
	}
	return d.minimum
}

// locality is the key of a distance; an empty zone stands for the whole region.
type locality struct{ zone, region string }

// recordRoundTrip records a measured round trip to an endpoint's node. Those within the own
// zone are ignored.
func (b *Balancer) recordRoundTrip(now time.Time, endpoint *snapshot.Endpoint, took time.Duration) {
	if took <= 0 || endpoint.Zone == b.settings.Zone {
		return
	}
	if len(b.distances) >= maxDistances {
		clear(b.distances)
	}
	for _, of := range []locality{{endpoint.Zone, endpoint.Region}, {"", endpoint.Region}} {
		b.distances[of] = b.distances[of].add(took, now)
	}
}

// RoundTrip returns the round trip time to an endpoint's node, and whether it was measured,
// if only for another node of its zone or region. Within the own zone it counts as 0: it is
// already included in the observed run times.
func (b *Balancer) RoundTrip(endpoint *snapshot.Endpoint) (took time.Duration, measured bool) {
	if endpoint.Zone == b.settings.Zone {
		return 0, true
	}
	for _, of := range []locality{{endpoint.Zone, endpoint.Region}, {"", endpoint.Region}} {
		if minimum := b.distances[of].roundTrip(); minimum > 0 {
			return minimum, true
		}
	}
	if b.isRemote(endpoint) {
		return unknownRoundTrip, false
	}
	return 0, false
}

// IsRemote reports whether an endpoint is in another region than a node of the given zone and
// region. An endpoint without a region counts as near; its distance is measured all the
// same.
func IsRemote(zone, region string, endpoint *snapshot.Endpoint) bool {
	return endpoint.Zone != zone && endpoint.Region != "" && endpoint.Region != region
}

// isRemote reports whether an endpoint is in another region.
func (b *Balancer) isRemote(endpoint *snapshot.Endpoint) bool {
	return IsRemote(b.settings.Zone, b.settings.Region, endpoint)
}

// networkTime is the time that a request and its response spend on the network. A body that
// is sent only after the node has requested it needs a second round trip.
func (b *Balancer) networkTime(need Need, endpoint *snapshot.Endpoint) time.Duration {
	took, _ := b.RoundTrip(endpoint)
	return time.Duration(max(1, need.RoundTrips)) * took
}

// networkTimeDivisor bounds the network time to a part of the time left. An unresponsive
// node is waited for no longer than that, so that the rest is left for a near node.
const networkTimeDivisor = 2

// exceedsNetworkTime reports whether the network time to an endpoint takes too much of the
// time left.
func (b *Balancer) exceedsNetworkTime(need Need, endpoint *snapshot.Endpoint) bool {
	return need.Deadline > 0 && b.networkTime(need, endpoint) >= need.Deadline/networkTimeDivisor
}

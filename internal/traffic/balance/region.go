package balance

import (
	"time"

	"sliphead/internal/snapshot"
)

// If a region is unreachable, each of its many endpoints would be detected as such by requests
// of its own that wait for a response. Other regions are therefore also tracked as a whole:
// after a few consecutive unresponsive endpoints, only one probing request at a time is sent
// to the region, at growing intervals. The first response makes the region available again.
// Its failed endpoints return one by one, since each has its own backoff, so that no burst of
// requests follows.

// unreachableThreshold is the number of consecutive attempts without a response after which
// a region counts as unreachable: more than the machines that usually fail together.
const unreachableThreshold = 3

// regionState is the reachability of another region.
type regionState struct {
	failures int       // consecutive attempts without a response
	retryAt  time.Time // no attempt before then
	probing  bool      // whether a probing request is in flight
}

// recordReachability records whether an endpoint of another region responded.
func (b *Balancer) recordReachability(now time.Time, endpoint *snapshot.Endpoint, observed Observation) {
	if !b.isRemote(endpoint) {
		return
	}
	region := b.regions[endpoint.Region]
	region.probing = false
	switch {
	case observed.RoundTrip > 0 || observed.HasLoad:
		region = regionState{}
	case observed.Unreachable: // an attempt ended by its caller or deadline shows nothing
		region.failures++
		if region.failures >= unreachableThreshold {
			region.retryAt = now.Add(b.backoff(region.failures - unreachableThreshold))
		}
	}
	b.regions[endpoint.Region] = region
}

// regionIsBackedOff reports whether an endpoint's region is unreachable and must not be
// tried now.
func (b *Balancer) regionIsBackedOff(now time.Time, endpoint *snapshot.Endpoint) bool {
	if !b.isRemote(endpoint) {
		return false
	}
	region := b.regions[endpoint.Region]
	return b.RegionUnreachable(endpoint.Region) && (region.probing || now.Before(region.retryAt))
}

// RegionUnreachable reports whether a region counts as unreachable.
func (b *Balancer) RegionUnreachable(region string) bool {
	return b.regions[region].failures >= unreachableThreshold
}

// recordAttempt records that a request is sent to an endpoint.
func (b *Balancer) recordAttempt(endpoint *snapshot.Endpoint) {
	if !b.isRemote(endpoint) {
		return
	}
	region := b.regions[endpoint.Region]
	region.probing = b.RegionUnreachable(endpoint.Region)
	b.regions[endpoint.Region] = region
}

// recordRelease records that a request was not sent to an endpoint after all.
func (b *Balancer) recordRelease(endpoint *snapshot.Endpoint) {
	if region, found := b.regions[endpoint.Region]; found {
		region.probing = false
		b.regions[endpoint.Region] = region
	}
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

const remoteRoundTrip = 40 * time.Millisecond

// newRemoteBalancer returns a balancer that has measured the round trip to a zone of
// another region, and an endpoint there.
func newRemoteBalancer() (*Balancer, snapshot.Endpoint) {
	b := newBalancer()
	far := endpoint("far", "z9", "r2")
	b.Ended(start, "probe", far, Observation{RoundTrip: remoteRoundTrip + 3*time.Millisecond})
	b.Ended(start, "probe", far, Observation{RoundTrip: remoteRoundTrip})
	b.Ended(start, "probe", far, Observation{RoundTrip: 10 * remoteRoundTrip}) // delayed at the node
	return b, far
}

func roundTrip(b *Balancer, endpoint snapshot.Endpoint) time.Duration {
	took, _ := b.RoundTrip(&endpoint)
	return took
}

// The distance is the minimum time to an acknowledgement. It holds for all nodes of a zone
// and for zones of the same region without measurements. A path that has become longer is
// detected after two windows.
func TestDistanceIsMinimumRoundTrip(t *testing.T) {
	b, far := newRemoteBalancer()
	must.Eq(t, remoteRoundTrip, roundTrip(b, far))
	must.Eq(t, remoteRoundTrip, roundTrip(b, endpoint("other", "z9", "r2")))
	must.Eq(t, remoteRoundTrip, roundTrip(b, endpoint("beside", "z8", "r2")))
	must.Zero(t, roundTrip(b, endpoint("near", "z1", "r1")))
	must.Zero(t, roundTrip(b, endpoint("mid", "z2", "r1")))
	unknown := endpoint("unknown", "z7", "r3")
	took, measured := b.RoundTrip(&unknown)
	must.Eq(t, unknownRoundTrip, took)
	must.False(t, measured)

	longer := 2 * remoteRoundTrip
	for windows := range 2 {
		later := start.Add(time.Duration(windows+1) * roundTripWindow)
		b.Ended(later, "probe", far, Observation{RoundTrip: longer})
	}
	must.Eq(t, longer, roundTrip(b, far))
}

// A nested call with an objective of 150 ms goes to the near worker, although it is a
// little slower, because the remote one costs 40 ms of network time; it goes to the remote
// one if the near one would be late. A body that is sent on request takes two round trips.
func TestNetworkTimeCountsAgainstObjective(t *testing.T) {
	b, far := newRemoteBalancer()
	near := endpoint("near", "z1", "r1")
	endpoints := []snapshot.Endpoint{near, far}
	runs := func(nearRun, farRun time.Duration) {
		b.Ended(start, "probe", near, Observation{HasLoad: true, Load: Load{Slots: 6, Run: nearRun}})
		b.Ended(start, "probe", far, Observation{HasLoad: true, Load: Load{Slots: 6, Run: farRun}})
	}
	call := Need{Route: "probe", Objective: 150 * time.Millisecond, Deadline: 500 * time.Millisecond, Kilobytes: 0.4}
	runs(70*time.Millisecond, 40*time.Millisecond)
	must.Eq(t, 0, b.Cheapest(start, call, endpoints, nil).Index)
	runs(400*time.Millisecond, 40*time.Millisecond)
	must.Eq(t, 1, b.Cheapest(start, call, endpoints, nil).Index)
	must.Eq(t, remoteRoundTrip, b.estimate(call, &far, start).wait)
	call.RoundTrips = 2
	must.Eq(t, 2*remoteRoundTrip, b.estimate(call, &far, start).wait)
}

// A worker whose network time takes half of the time left is not tried, even if it is the
// only one. Its node would be declared unresponsive while the acknowledgement is still on
// its way, and its region unreachable after a few such calls.
func TestEndpointWithTooLongNetworkTimeIsSkipped(t *testing.T) {
	b, far := newRemoteBalancer()
	need := Need{Route: "probe", Objective: time.Millisecond, Deadline: remoteRoundTrip}
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.Deadline = 2 * remoteRoundTrip // the acknowledgement would arrive just when the attempt is abandoned
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.Deadline = 3 * remoteRoundTrip
	must.Eq(t, 0, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.RoundTrips = 3
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
}

// Bytes between regions cost more than bytes between zones: a request stays in its region
// while a zone there serves it in time, and leaves it rather than be late.
func TestOwnRegionIsPreferredWhileInTime(t *testing.T) {
	settings := DefaultSettings("z1", "r1")
	settings.RemoteByteFactor = 4
	b, far := newRemoteBalancer()
	b.settings = settings
	mid := endpoint("mid", "z2", "r1")
	endpoints := []snapshot.Endpoint{far, mid}
	need := Need{Route: "probe", Objective: 400 * time.Millisecond, Deadline: time.Second, Kilobytes: 0.4}
	report := func(run time.Duration) {
		b.Ended(start, "probe", mid, Observation{HasLoad: true, Load: Load{Slots: 6, Run: run}})
		b.Ended(start, "probe", far, Observation{HasLoad: true, Load: Load{Slots: 6, Run: 50 * time.Millisecond}})
	}
	report(150 * time.Millisecond)
	for range 4 {
		must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	}
	report(900 * time.Millisecond)
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
}

// In an overload of the whole mesh, fewer requests are offered to another region than to
// other zones: an offer there costs four times as much, and so must be more likely to be
// accepted.
func TestFullRegionsGetFewerOffersThanFullZones(t *testing.T) {
	offered := func(region string) int {
		b := newBalancer()
		b.settings.RemoteByteFactor = 4
		endpoints := []snapshot.Endpoint{endpoint("a", "z2", region), endpoint("b", "z3", region), endpoint("c", "z4", region)}
		need := Need{Route: "read", Objective: time.Second, Rejected: true}
		count := 0
		for request := range 100 { // in two seconds
			now := start.Add(time.Duration(request) * 20 * time.Millisecond)
			if chosen := b.Cheapest(now, need, endpoints, nil).Index; chosen >= 0 {
				count++
				b.Ended(now, "read", endpoints[chosen], Observation{Rejected: true})
			}
		}
		return count
	}
	far := offered("r2")
	must.Positive(t, far) // it is tried again from time to time
	must.Less(t, offered("r1")/2, far)
}

// A worker without a region, or in the own zone with any region, counts as one of the own
// region. Such workers were once treated as remote, and requests were rejected while
// workers were free.
func TestEndpointWithoutRegionIsNotRemote(t *testing.T) {
	b := newBalancer()
	for _, near := range []snapshot.Endpoint{endpoint("a", "z1", ""), endpoint("b", "z2", ""), endpoint("c", "z1", "r2"), endpoint("d", "z2", "r1")} {
		must.False(t, b.isRemote(&near))
		must.Zero(t, roundTrip(b, near))
	}
	far := endpoint("e", "z2", "r2")
	must.True(t, b.isRemote(&far))
}

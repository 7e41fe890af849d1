package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

const longWay = 40 * time.Millisecond

// newDistantBalancer is a balancer that has measured the way to a zone of another region.
func newDistantBalancer() (*Balancer, snapshot.Endpoint) {
	b := newBalancer()
	far := endpoint("far", "z9", "r2")
	b.Ended(start, "probe", far, Observation{RoundTrip: longWay + 3*time.Millisecond})
	b.Ended(start, "probe", far, Observation{RoundTrip: longWay})
	b.Ended(start, "probe", far, Observation{RoundTrip: 10 * longWay}) // waited at the node
	return b, far
}

// roundTrip is what a balancer takes an endpoint's way for.
func roundTrip(b *Balancer, endpoint snapshot.Endpoint) time.Duration {
	took, _ := b.RoundTrip(&endpoint)
	return took
}

// The least time to a sign is the way there and back, for all nodes of a zone, and for
// zones of its region that nothing was measured of. A way that has become longer is known
// after two windows.
func TestDistanceIsTheLeastTimeToASign(t *testing.T) {
	b, far := newDistantBalancer()
	must.Eq(t, longWay, roundTrip(b, far))
	must.Eq(t, longWay, roundTrip(b, endpoint("other", "z9", "r2")))
	must.Eq(t, longWay, roundTrip(b, endpoint("beside", "z8", "r2")))
	must.Zero(t, roundTrip(b, endpoint("near", "z1", "r1")))
	must.Zero(t, roundTrip(b, endpoint("mid", "z2", "r1")))
	unknown := endpoint("unknown", "z7", "r3")
	took, measured := b.RoundTrip(&unknown)
	must.Eq(t, unknownRoundTrip, took)
	must.False(t, measured)

	longer := 2 * longWay
	for windows := range 2 {
		later := start.Add(time.Duration(windows+1) * roundTripWindow)
		b.Ended(later, "probe", far, Observation{RoundTrip: longer})
	}
	must.Eq(t, longer, roundTrip(b, far))
}

// A nested call with 150 ms in all takes the near worker that is a little slower: 40 ms are
// on the way. It takes the far one where the near one would be late. A body that is asked
// for first goes the way twice.
func TestDistanceCountsAgainstTheObjective(t *testing.T) {
	b, far := newDistantBalancer()
	near := endpoint("near", "z1", "r1")
	endpoints := []snapshot.Endpoint{near, far}
	runs := func(nearRun, farRun time.Duration) {
		b.Ended(start, "probe", near, Observation{Loaded: true, Load: Load{Slots: 6, Run: nearRun}})
		b.Ended(start, "probe", far, Observation{Loaded: true, Load: Load{Slots: 6, Run: farRun}})
	}
	call := Need{Route: "probe", Objective: 150 * time.Millisecond, Deadline: 500 * time.Millisecond, Kilobytes: 0.4}
	runs(70*time.Millisecond, 40*time.Millisecond)
	must.Eq(t, 0, b.Cheapest(start, call, endpoints, nil).Index)
	runs(400*time.Millisecond, 40*time.Millisecond)
	must.Eq(t, 1, b.Cheapest(start, call, endpoints, nil).Index)
	must.Eq(t, longWay, b.estimate(call, &far, start).wait)
	call.Trips = 2
	must.Eq(t, 2*longWay, b.estimate(call, &far, start).wait)
}

// A worker to which the way takes half of the time left is not asked, also when it is the
// only one: its node would be given up as silent while its sign is on the way, and its
// region be taken for lost after a few such calls.
func TestTooFarIsNotAsked(t *testing.T) {
	b, far := newDistantBalancer()
	need := Need{Route: "probe", Objective: time.Millisecond, Deadline: longWay}
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.Deadline = 2 * longWay // its sign would come when half of the time has gone, and it be given up
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.Deadline = 3 * longWay
	must.Eq(t, 0, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
	need.Trips = 3
	must.Eq(t, -1, b.Cheapest(start, need, []snapshot.Endpoint{far}, nil).Index)
}

// Bytes between regions cost more than those between zones: a long answer stays in its
// region while a zone there serves it in time, and leaves it rather than be late.
func TestOwnRegionFirstWhileItServes(t *testing.T) {
	settings := DefaultSettings("z1", "r1")
	settings.RegionBytes = 4
	b, far := newDistantBalancer()
	b.settings = settings
	mid := endpoint("mid", "z2", "r1")
	endpoints := []snapshot.Endpoint{far, mid}
	need := Need{Route: "probe", Objective: 400 * time.Millisecond, Deadline: time.Second, Kilobytes: 0.4}
	tell := func(run time.Duration) {
		b.Ended(start, "probe", mid, Observation{Loaded: true, Load: Load{Slots: 6, Run: run}})
		b.Ended(start, "probe", far, Observation{Loaded: true, Load: Load{Slots: 6, Run: 50 * time.Millisecond}})
	}
	tell(150 * time.Millisecond)
	for range 4 {
		must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	}
	tell(900 * time.Millisecond)
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
}

// In an overload of the whole mesh a question to another region has to be likelier to be
// taken than one to another zone: it costs four times as much.
func TestFullRegionsAreAskedLessThanFullZones(t *testing.T) {
	asked := func(region string) int {
		b := newBalancer()
		b.settings.RegionBytes = 4
		endpoints := []snapshot.Endpoint{endpoint("a", "z2", region), endpoint("b", "z3", region), endpoint("c", "z4", region)}
		need := Need{Route: "read", Objective: time.Second, Refused: true}
		count := 0
		for request := range 100 { // in two seconds
			now := start.Add(time.Duration(request) * 20 * time.Millisecond)
			if chosen := b.Cheapest(now, need, endpoints, nil).Index; chosen >= 0 {
				count++
				b.Ended(now, "read", endpoints[chosen], Observation{Refused: true})
			}
		}
		return count
	}
	far := asked("r2")
	must.Positive(t, far) // it is asked again now and then
	must.Less(t, asked("r1")/2, far)
}

// Where no region is told of a worker, and in the own zone whatever is told, a worker counts
// as one of the own region: all of them were taken for far, and requests were refused while
// workers were free.
func TestUnknownRegionIsNear(t *testing.T) {
	b := newBalancer()
	for _, near := range []snapshot.Endpoint{endpoint("a", "z1", ""), endpoint("b", "z2", ""), endpoint("c", "z1", "r2"), endpoint("d", "z2", "r1")} {
		must.False(t, b.isFar(&near))
		must.Zero(t, roundTrip(b, near))
	}
	far := endpoint("e", "z2", "r2")
	must.True(t, b.isFar(&far))
}

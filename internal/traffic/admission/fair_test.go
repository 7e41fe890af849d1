package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// tenantFlows are tenants of one priority, a few of them large, that together offer the
// multiple of what twelve slots can do in 150 ms a run, 80 a second. Each offers its weight's part
// of that, the flooding one times as much.
func tenantFlows(multiple float64, flooding int, times float64) []flow {
	const capacity, run, objective = 80.0, 150 * time.Millisecond, 500 * time.Millisecond
	weights := []float64{240, 140, 100, 80, 65, 58, 50, 46, 42, 39, 36, 34, 31, 30, 28, 27, 26, 24, 23, 22}
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	var flows []flow
	for index, weight := range weights {
		perSecond := multiple * capacity * weight / total
		if index == flooding {
			perSecond *= times
		}
		flows = append(flows, flow{class: ClassOfRank(1, 2), perSec: perSecond, service: run, deadline: objective, tenant: fmt.Sprint("t", index), weight: weight})
	}
	return flows
}

// served is what became of tenants: the share served in time of all, of the worst, of those
// that don't flood and of the worst tenth of these, and the share held in vain.
type served struct{ all, worst, others, tenth, held float64 }

func serveTenants(multiple float64, flooding int, times float64, fair bool) served {
	flows := tenantFlows(multiple, flooding, times)
	for index := range flows {
		if !fair {
			flows[index].tenant = ""
		}
	}
	tallies := simulateFlows(Settings{Slots: 12, Length: 128, AgeAfter: DefaultAgeAfter, AgedEvery: DefaultAgedEvery}, flows, 5*time.Minute)
	var all, others tally
	var shares []float64
	worst := 1.0
	for index := range flows {
		got := tallies[&flows[index]]
		all.add(got)
		share := float64(got.inTime) / float64(got.offered)
		worst = min(worst, share)
		if index != flooding {
			others.add(got)
			shares = append(shares, share)
		}
	}
	slices.Sort(shares)
	of := func(count int, offered int) float64 { return float64(count) / float64(offered) }
	return served{
		all: of(all.inTime, all.offered), worst: worst, others: of(others.inTime, others.offered),
		tenth: (shares[0] + shares[1]) / 2, held: of(all.held, all.offered),
	}
}

// No tenant is served much worse than all, in an overload that all cause and in one that a
// single one causes; and what that one causes is not the others' loss. Requests that are let
// in are served, though others pass them.
func TestTenantsAreServedAlike(t *testing.T) {
	const nobody = -1
	for _, load := range []struct {
		multiple float64
		flooding int
		times    float64
	}{{0.95, nobody, 1}, {1.3, nobody, 1}, {2, nobody, 1}, {0.95, 0, 1.6}, {0.95, 0, 4.7}, {0.95, 12, 8}, {1.3, 0, 1.6}} {
		fair, byArrival := serveTenants(load.multiple, load.flooding, load.times, true), serveTenants(load.multiple, load.flooding, load.times, false)
		t.Logf("load=%gx flooding=%d times=%g fair=%.3f by-arrival=%.3f", load.multiple, load.flooding, load.times, fair, byArrival)
		must.GreaterEq(t, fair.all-0.05, fair.tenth)
		must.GreaterEq(t, fair.all/2, fair.worst)
		must.LessEq(t, 0.002, fair.held)
		must.GreaterEq(t, byArrival.all-0.02, fair.all)
		if load.flooding != nobody {
			must.GreaterEq(t, byArrival.others+0.01, fair.others)
		}
	}
}

// Whatever the priorities of tenants and routes: what waits is served by the tenant's, then
// by the route's, and among equals of one tenant as it came.
func TestOrderOfAnyPriorities(t *testing.T) {
	type request struct{ tenant, route, serial int }
	rapid.Check(t, func(r *rapid.T) {
		const most = 40
		queue := New[request](Settings{Slots: 1, Length: 2 * most})
		far := start.Add(time.Hour)
		running, _ := queue.Take(Arrival[request]{Deadline: far}, start)
		count := rapid.IntRange(1, most).Draw(r, "count")
		for serial := range count {
			asked := request{rapid.IntRange(0, 9).Draw(r, "tenant"), rapid.IntRange(0, 9).Draw(r, "route"), serial}
			arrival := Arrival[request]{Class: ClassOfRank(asked.tenant, asked.route), Tenant: fmt.Sprint(asked.tenant), Weight: 1, Deadline: far, Waiter: asked}
			ticket, decided := queue.Take(arrival, start)
			must.Eq(r, Queued, ticket.Verdict)
			must.SliceEmpty(r, decided)
		}
		var order []request
		for range count {
			next := queue.Done(running, start)
			must.Len(r, 1, next)
			running = next[0]
			order = append(order, running.Waiter)
		}
		must.True(r, slices.IsSortedFunc(order, func(a, b request) int {
			return slices.Compare([]int{a.tenant, a.route, a.serial}, []int{b.tenant, b.route, b.serial})
		}), must.Sprint(order))
	})
}

// With any priorities the queue stays within its length, gives up the lowest first, and
// never one for another of its own class or a lower one.
func TestRoomOfAnyPriorities(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		length := rapid.IntRange(0, 40).Draw(r, "length")
		queue := New[Class](Settings{Slots: 1, Length: length})
		far := start.Add(time.Hour)
		queue.Take(Arrival[Class]{Deadline: far}, start)
		for range rapid.IntRange(1, 200).Draw(r, "count") {
			class := ClassOfRank(rapid.IntRange(-1, 30).Draw(r, "tenant"), rapid.IntRange(-1, 30).Draw(r, "route"))
			_, decided := queue.Take(Arrival[Class]{Class: class, Deadline: far, Waiter: class}, start)
			for _, gaveWay := range decided {
				must.Eq(r, Refused, gaveWay.Verdict)
				must.Greater(r, class, gaveWay.Waiter)
			}
			must.LessEq(r, length, queue.Waiting())
			must.LessEq(r, mostLines+length, len(queue.lines))
		}
		must.Len(r, queue.Waiting(), queue.Clear(start))
		must.Zero(r, queue.Waiting())
	})
}

// Tenants of a lower priority are served in the end, though those of a higher one ask for
// more than there is.
func TestNoPriorityStarves(t *testing.T) {
	flows := []flow{
		{class: ClassOfRank(0, 1), perSec: 500, service: 10 * time.Millisecond, deadline: 5 * time.Second, tenant: "first", weight: 1},
		{class: ClassOfRank(1, 0), perSec: 500, service: 10 * time.Millisecond, deadline: 20 * time.Second, tenant: "second", weight: 1},
		{class: ClassOfRank(5, 2), perSec: 500, service: 10 * time.Millisecond, deadline: 20 * time.Second, tenant: "third", weight: 1},
	}
	tallies := simulateFlows(Settings{Slots: 4, Length: 128, AgeAfter: DefaultAgeAfter, AgedEvery: DefaultAgedEvery}, flows, time.Minute)
	total := 0
	for index := range flows {
		total += tallies[&flows[index]].inTime
	}
	for index := range flows {
		got := tallies[&flows[index]]
		t.Logf("class=%d offered=%d in-time=%d refused=%d held=%d", flows[index].class, got.offered, got.inTime, got.refused, got.held)
		must.GreaterEq(t, total/100, got.inTime)
	}
}

// At their last try, too, more urgent callers go first, as long as nobody who was let in
// then waits in vain.
func TestLateLineByPriority(t *testing.T) {
	queue, held := lateQueue()
	due := start.Add(10 * time.Millisecond)
	take := func(tenant int, last time.Duration) *Ticket[string] {
		ticket, _ := queue.Take(Arrival[string]{Class: ClassOfRank(tenant, 1), Deadline: due, Last: start.Add(last), Waiter: fmt.Sprint(tenant)}, start)
		return ticket
	}
	must.Eq(t, Queued, take(2, 10*time.Second).Verdict)
	must.Eq(t, Queued, take(1, 10*time.Second).Verdict)
	must.Eq(t, Queued, take(2, 700*time.Millisecond).Verdict) // has no time for one more before it
	must.Eq(t, Queued, take(0, 10*time.Second).Verdict)
	var order []string
	for _, each := range held {
		order = append(order, queue.Done(each, start.Add(100*time.Millisecond))[0].Waiter)
	}
	must.Eq(t, []string{"1", "2", "2", "0"}, order)
}

// Tenants whose requests have finished are forgotten, and no number of them takes memory
// without bound.
func TestTenantsAreBounded(t *testing.T) {
	fair := newFairness()
	for index := range 3 * mostTenants {
		name := fmt.Sprint(index)
		at := fair.start(name)
		fair.accept(name, 1, at)
		if index%2 == 0 {
			fair.granted(at + 1)
		}
	}
	must.LessEq(t, mostTenants, len(fair.finish))
}

// A full queue takes in whom others of the class have kept out by what they sent, and gives
// the last of theirs up.
func TestFullQueueIsSharedAmongTenants(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 4})
	far := start.Add(time.Hour)
	take := func(tenant string) (*Ticket[string], []*Ticket[string]) {
		return queue.Take(Arrival[string]{Class: ClassOfRank(1, 2), Tenant: tenant, Weight: 1, Deadline: far, Waiter: tenant}, start)
	}
	for range 5 {
		take("large")
	}
	another, decided := take("large")
	must.Eq(t, Refused, another.Verdict)
	must.SliceEmpty(t, decided)
	small, decided := take("small")
	must.Eq(t, Queued, small.Verdict)
	must.Len(t, 1, decided)
	must.Eq(t, "large", decided[0].Waiter)
}

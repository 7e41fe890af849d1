package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// tenantFlows returns the flows of tenants of one priority, a few of them large, which
// together offer a multiple of the capacity of twelve slots at 150 ms a run, 80 requests
// per second. Each tenant offers a share in proportion to its weight; the flooding tenant
// offers times as much.
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

// served holds the share of requests served in time: of all tenants, of the worst tenant,
// of those that don't flood, and of the worst tenth of these. rejectedLate is the share rejected
// after queueing.
type served struct{ all, worst, others, tenth, rejectedLate float64 }

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
		tenth: (shares[0] + shares[1]) / 2, rejectedLate: of(all.rejectedLate, all.offered),
	}
}

// No tenant is served much worse than the average when all tenants or a single one cause an
// overload, and a flooding tenant takes nothing from the others. Requests that are admitted
// are served in time although others overtake them.
func TestTenantsAreServedFairlyUnderOverload(t *testing.T) {
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
		must.LessEq(t, 0.002, fair.rejectedLate)
		must.GreaterEq(t, byArrival.all-0.02, fair.all)
		if load.flooding != nobody {
			must.GreaterEq(t, byArrival.others+0.01, fair.others)
		}
	}
}

// For random priorities, queued requests are granted by tenant priority, then route
// priority, then order of arrival.
func TestGrantOrderFollowsPriorities(t *testing.T) {
	type request struct{ tenant, route, serial int }
	rapid.Check(t, func(r *rapid.T) {
		const maxCount = 40
		queue := New[request](Settings{Slots: 1, Length: 2 * maxCount})
		deadline := start.Add(time.Hour)
		running, _ := queue.Admit(Arrival[request]{Deadline: deadline}, start)
		count := rapid.IntRange(1, maxCount).Draw(r, "count")
		for serial := range count {
			sent := request{rapid.IntRange(0, 9).Draw(r, "tenant"), rapid.IntRange(0, 9).Draw(r, "route"), serial}
			arrival := Arrival[request]{Class: ClassOfRank(sent.tenant, sent.route), Tenant: fmt.Sprint(sent.tenant), Weight: 1, Deadline: deadline, Waiter: sent}
			ticket, decided := queue.Admit(arrival, start)
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

// For random priorities, the queue stays within its length and evicts only requests of a
// lower class than the arriving one.
func TestQueueBoundAndEvictionOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		length := rapid.IntRange(0, 40).Draw(r, "length")
		queue := New[Class](Settings{Slots: 1, Length: length})
		deadline := start.Add(time.Hour)
		queue.Admit(Arrival[Class]{Deadline: deadline}, start)
		for range rapid.IntRange(1, 200).Draw(r, "count") {
			class := ClassOfRank(rapid.IntRange(-1, 30).Draw(r, "tenant"), rapid.IntRange(-1, 30).Draw(r, "route"))
			_, decided := queue.Admit(Arrival[Class]{Class: class, Deadline: deadline, Waiter: class}, start)
			for _, evicted := range decided {
				must.Eq(r, Rejected, evicted.Verdict)
				must.Greater(r, class, evicted.Waiter)
			}
			must.LessEq(r, length, queue.Waiting())
			must.LessEq(r, maxClassQueues+length, len(queue.classQueues))
		}
		must.Len(r, queue.Waiting(), queue.Clear(start))
		must.Zero(r, queue.Waiting())
	})
}

// Tenants of lower priority are still served when those of a higher one offer more than the
// capacity.
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
		t.Logf("class=%d offered=%d in-time=%d rejected=%d rejected-late=%d", flows[index].class, got.offered, got.inTime, got.rejected, got.rejectedLate)
		must.GreaterEq(t, total/100, got.inTime)
	}
}

// In the late queue, higher classes are served first as long as every admitted request
// still meets its late deadline.
func TestLateQueueOrdersByPriority(t *testing.T) {
	queue, running := newBusyQueue()
	due := start.Add(10 * time.Millisecond)
	take := func(tenant int, last time.Duration) *Ticket[string] {
		ticket, _ := queue.Admit(Arrival[string]{Class: ClassOfRank(tenant, 1), Deadline: due, LateDeadline: start.Add(last), Waiter: fmt.Sprint(tenant)}, start)
		return ticket
	}
	must.Eq(t, Queued, take(2, 10*time.Second).Verdict)
	must.Eq(t, Queued, take(1, 10*time.Second).Verdict)
	must.Eq(t, Queued, take(2, 700*time.Millisecond).Verdict) // cannot be overtaken and still meet its deadline
	must.Eq(t, Queued, take(0, 10*time.Second).Verdict)
	var order []string
	for _, each := range running {
		order = append(order, queue.Done(each, start.Add(100*time.Millisecond))[0].Waiter)
	}
	must.Eq(t, []string{"1", "2", "2", "0"}, order)
}

// Tenants whose requests have finished are evicted, so that memory stays bounded for any
// number of tenants.
func TestTrackedTenantsAreBounded(t *testing.T) {
	fair := newFairness()
	for index := range 3 * maxTenants {
		name := fmt.Sprint(index)
		at := fair.start(name)
		fair.accept(name, 1, at)
		if index%2 == 0 {
			fair.granted(at + 1)
		}
	}
	must.LessEq(t, maxTenants, len(fair.finish))
}

// When tenants of the same class have filled the queue, a request of a tenant below its
// share evicts the last request of one above it.
func TestFullQueueEvictsTenantAboveItsShare(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 4})
	deadline := start.Add(time.Hour)
	take := func(tenant string) (*Ticket[string], []*Ticket[string]) {
		return queue.Admit(Arrival[string]{Class: ClassOfRank(1, 2), Tenant: tenant, Weight: 1, Deadline: deadline, Waiter: tenant}, start)
	}
	for range 5 {
		take("large")
	}
	another, decided := take("large")
	must.Eq(t, Rejected, another.Verdict)
	must.SliceEmpty(t, decided)
	small, decided := take("small")
	must.Eq(t, Queued, small.Verdict)
	must.Len(t, 1, decided)
	must.Eq(t, "large", decided[0].Waiter)
}

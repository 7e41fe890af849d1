package traffic

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/closing"
)

// newPriorityMesh starts two nodes, the second with a worker of one slot. They have four tenants,
// two of priority 0 and two of priority 1, whose keys are their names.
func newPriorityMesh(t *testing.T) *catalogMesh {
	var tenants []catalog.Tenant
	for priority, names := range [][]string{{"first", "second"}, {"third", "fourth"}} {
		for _, name := range names {
			tenants = append(tenants, catalog.Tenant{Name: name, Keys: []catalog.KeyDigest{catalog.DigestKey(name)}, Priority: priority, RatePerSecond: 10})
		}
	}
	m := newTenantMesh(t, func(route *snapshot.Route) {
		if route.Name == "order" {
			route.Rank = 2
		}
	})
	for node := range m.nodes {
		m.publishTenants(node, 1, tenants)
	}
	view, _ := m.nodes[1].holder.Current(time.Now())
	view.Local.Slots = 1
	m.nodes[1].in.admitter.resize(1)
	return m
}

// runOrder occupies the worker's slot, queues the requests of tenants one after the other, and
// returns the order in which they ran.
func (m *catalogMesh) runOrder(requests [][2]string) []string {
	node := m.nodes[1]
	node.worker.script = []string{"wait"}
	ended := make(chan error, len(requests)+1)
	send := func(tenant, path string) {
		request, _ := http.NewRequest(http.MethodGet, m.nodes[0].outbound+path, nil)
		request.Host = "shop.example"
		request.Header.Set(testProtocol.RequestID, fmt.Sprintf("%s-%d", tenant, m.serial.Add(1)))
		request.Header.Set(testProtocol.Deadline, "20000")
		request.Header.Set("Authorization", "Bearer "+tenant)
		response, err := m.client.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}
	go send("first", "/order/1")
	waitFor(m.t, func() bool { return node.worker.runs() == 1 })
	for index, each := range requests {
		go send(each[0], each[1])
		waitFor(m.t, func() bool { return node.in.Queued() == index+1 })
	}
	close(node.worker.unblock)
	for range len(requests) + 1 {
		must.NoError(m.t, <-ended)
	}
	var order []string
	for _, request := range node.worker.got[1:] {
		order = append(order, request.Header.Get(testProtocol.Tenant)+request.URL.Path)
	}
	return order
}

// A busy worker runs queued requests by the priority of their tenants, and those of equal
// tenants by the priority of their routes.
func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	order := newPriorityMesh(t).runOrder([][2]string{{"third", "/order/1"}, {"fourth", "/lookup/1"}, {"second", "/order/1"}, {"second", "/lookup/1"}})
	must.Eq(t, []string{"second/lookup/1", "second/order/1", "fourth/lookup/1", "third/order/1"}, order)
}

// A tenant with many queued requests must not delay other tenants: requests of another tenant
// alternate with its own.
func TestTenantDoesNotDelayOtherTenants(t *testing.T) {
	var requests [][2]string
	for range 5 {
		requests = append(requests, [2]string{"third", "/lookup/1"})
	}
	order := newPriorityMesh(t).runOrder(append(requests, [2]string{"fourth", "/lookup/1"}, [2]string{"fourth", "/lookup/1"}))
	must.Eq(t, []string{"third/lookup/1", "fourth/lookup/1", "third/lookup/1", "fourth/lookup/1"}, order[:4])
	must.False(t, slices.Contains(order[4:], "fourth/lookup/1"))
}

// The urgency at a cold worker also depends on the tenant before the route.
func TestUrgencyByTenantAndRoute(t *testing.T) {
	for _, each := range []struct {
		tenant, rank int
		urgency      closing.Urgency
	}{{0, 0, closing.Urgent}, {0, 1, closing.Urgent}, {0, 2, closing.NonUrgent}, {1, 0, closing.LowerTenantUrgent}, {2, 1, closing.LowerTenantUrgent}, {2, 2, closing.LowerTenantNonUrgent}} {
		must.Eq(t, each.urgency, class{tenantPriority: each.tenant, rank: each.rank}.urgency())
	}
}

// The priorities of tenant and route that are sent between nodes are decoded as encoded, and
// invalid texts are rejected.
func TestPriorityEncodingRoundTrip(t *testing.T) {
	for text, priorities := range map[string]class{"0": {}, "2": {rank: 2}, "2.1": {rank: 2, tenantPriority: 1}, "0.3": {tenantPriority: 3}} {
		must.Eq(t, text, priorities.priority())
		tenant, rank, valid := decodePriority(text)
		must.True(t, valid)
		must.Eq(t, priorities, class{tenantPriority: tenant, rank: rank})
	}
	for _, text := range []string{"", ".", "1.", ".1", "1.1.1", "x"} {
		_, _, valid := decodePriority(text)
		must.False(t, valid, must.Sprint(text))
	}
}

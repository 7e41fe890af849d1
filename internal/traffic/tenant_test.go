package traffic

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/snapshot"
)

// The key and the tenant of the tests.
const (
	pressKey = "k-press-1"
	press    = "press"
)

func pressTenant() []catalog.Tenant {
	return []catalog.Tenant{{Name: press, Keys: []catalog.KeyDigest{catalog.DigestKey(pressKey)}, RatePerSecond: 100, Burst: 100}}
}

// publishTenants gives a node a new version of its view, with tenants.
func (m *catalogMesh) publishTenants(node int, revision uint64, tenants []catalog.Tenant) {
	held, _ := m.nodes[node].holder.Current(time.Now())
	view := *held
	view.Version.Revision = revision
	view.SetTenants(tenants)
	m.nodes[node].holder.Store(&view)
}

// newTenantMesh starts two nodes that know the tenant; the first offers its requests to
// the other's worker alone, so that they take the way between nodes.
func newTenantMesh(t *testing.T, change func(*snapshot.Route)) *catalogMesh {
	m := newCatalogMesh(t, 2)
	m.publish(func(route *snapshot.Route) {
		route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
		if change != nil {
			change(route)
		}
	})
	for node := range m.nodes {
		m.publishTenants(node, 1, pressTenant())
	}
	return m
}

// The worker is told the tenant of the caller's key, whatever the caller says, and is never
// shown the key.
func TestWorkerIsToldTheTenant(t *testing.T) {
	m := newTenantMesh(t, nil)
	response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey, testProtocol.Tenant, "other")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[1].worker.last()
	must.Eq(t, []string{press}, got.Header.Values(testProtocol.Tenant))
	must.Eq(t, "", got.Header.Get("Authorization"))
}

// Without a key that a tenant holds a request runs nowhere, but on public routes.
func TestUnknownKeys(t *testing.T) {
	for _, headers := range [][]string{
		{}, {"Authorization", "Bearer other"}, {"Authorization", "Basic " + pressKey}, {"Authorization", "Bearer"}, {"Authorization", pressKey},
	} {
		m := newTenantMesh(t, nil)
		response, _, err := m.call(http.MethodGet, "/lookup/1", "", headers...)
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
		must.Eq(t, "Bearer", response.Header.Get("WWW-Authenticate"))
		must.Eq(t, 0, m.runs())

		m = newTenantMesh(t, func(route *snapshot.Route) { route.Public = true })
		response, _, err = m.call(http.MethodGet, "/lookup/1", "", append(headers, testProtocol.Tenant, press)...)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		got, _ := m.nodes[1].worker.last()
		must.SliceEmpty(t, got.Header.Values(testProtocol.Tenant))
		must.SliceEmpty(t, got.Header.Values("Authorization"))
	}
}

// Where there are no tenants, a caller's Authorization is the worker's business.
func TestAuthorizationWithoutTenants(t *testing.T) {
	m := newCatalogMesh(t, 1)
	response, _, err := m.call(http.MethodGet, "/lookup/1", "", "Authorization", "Bearer own")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[0].worker.last()
	must.Eq(t, "Bearer own", got.Header.Get("Authorization"))
}

// A worker's node that knows of a later configuration, without the key, has the request
// rejected; one that is behind believes the node that took it.
func TestWithdrawnKeyAtTheWorkersNode(t *testing.T) {
	m := newTenantMesh(t, nil)
	m.publishTenants(1, 2, []catalog.Tenant{})
	response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey)
	must.NoError(t, err)
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	must.Eq(t, 0, m.runs())

	m.publishTenants(0, 3, pressTenant())
	response, _, err = m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// A key that a later configuration gives to another tenant is that tenant's at the worker's
// node, and no reason to reject the request: all configurations hold it.
func TestKeyMovesToAnotherTenant(t *testing.T) {
	m := newTenantMesh(t, nil)
	moved := pressTenant()
	moved[0].Name = "till"
	m.publishTenants(1, 2, moved)
	response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[1].worker.last()
	must.Eq(t, "till", got.Header.Get(testProtocol.Tenant))
}

// fixedQuota lets a number of requests pass.
type fixedQuota struct {
	mutex sync.Mutex
	left  int
}

func (q *fixedQuota) Take(context.Context, *catalog.Tenant) (bool, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.left--
	return q.left >= 0, 250 * time.Millisecond
}

func (q *fixedQuota) GiveBack(*catalog.Tenant) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.left++
}

// What goes beyond a tenant's limit is refused as not run, with when to come back; what no
// worker ran gives back what it took.
func TestTenantsLimit(t *testing.T) {
	m := newTenantMesh(t, nil)
	quota := &fixedQuota{left: 2}
	m.nodes[0].out.config.Quotas = quota
	order := func() *http.Response {
		response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey)
		must.NoError(t, err)
		return response
	}
	m.script("shed", "shed")
	must.Eq(t, http.StatusServiceUnavailable, order().StatusCode)
	must.Eq(t, 2, quota.left)
	m.script()
	must.Eq(t, http.StatusOK, order().StatusCode)
	must.Eq(t, http.StatusOK, order().StatusCode)
	refused := order()
	must.Eq(t, http.StatusTooManyRequests, refused.StatusCode)
	must.Eq(t, "0.250", refused.Header.Get("Retry-After"))
	must.Eq(t, 2, m.runs())
}

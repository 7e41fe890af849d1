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

// Key and name of the tenant in the tests.
const (
	pressKey = "k-press-1"
	press    = "press"
)

func pressTenant() []catalog.Tenant {
	return []catalog.Tenant{{Name: press, Keys: []catalog.KeyDigest{catalog.DigestKey(pressKey)}, RatePerSecond: 100, Burst: 100}}
}

// publishTenants gives a node a new revision of its view with the given tenants.
func (m *catalogMesh) publishTenants(node int, revision uint64, tenants []catalog.Tenant) {
	current, _ := m.nodes[node].holder.Current(time.Now())
	view := *current
	view.Version.Revision = revision
	view.SetTenants(tenants)
	m.nodes[node].holder.Store(&view)
}

// newTenantMesh starts two nodes that have the tenant. The first one offers its requests to the
// second one's worker only, so that they pass between nodes.
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

// The worker must receive the tenant of the caller's key, whatever tenant the caller claims, and
// must not receive the key.
func TestWorkerReceivesTenantButNoKey(t *testing.T) {
	m := newTenantMesh(t, nil)
	response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey, testProtocol.Tenant, "other")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[1].worker.lastRequest()
	must.Eq(t, []string{press}, got.Header.Values(testProtocol.Tenant))
	must.Eq(t, "", got.Header.Get("Authorization"))
}

// A request without a key of a tenant must not run, except on a public route.
func TestUnknownKeyIsRejected(t *testing.T) {
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
		got, _ := m.nodes[1].worker.lastRequest()
		must.SliceEmpty(t, got.Header.Values(testProtocol.Tenant))
		must.SliceEmpty(t, got.Header.Values("Authorization"))
	}
}

// Without tenants a caller's Authorization header is passed on to the worker.
func TestAuthorizationIsForwardedWithoutTenants(t *testing.T) {
	m := newCatalogMesh(t, 1)
	response, _, err := m.call(http.MethodGet, "/lookup/1", "", "Authorization", "Bearer own")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[0].worker.lastRequest()
	must.Eq(t, "Bearer own", got.Header.Get("Authorization"))
}

// A worker's node with a later configuration that lacks the key rejects the request. One with an
// earlier configuration trusts the node that accepted the request.
func TestWorkersNodeRejectsWithdrawnKey(t *testing.T) {
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

// A key that a later configuration assigns to another tenant identifies that tenant at the worker's
// node. The request is not rejected, since the key is valid in all configurations.
func TestMovedKeyIdentifiesItsNewTenant(t *testing.T) {
	m := newTenantMesh(t, nil)
	moved := pressTenant()
	moved[0].Name = "till"
	m.publishTenants(1, 2, moved)
	response, _, err := m.call(http.MethodPost, "/order/1", "x", "Authorization", "Bearer "+pressKey)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	got, _ := m.nodes[1].worker.lastRequest()
	must.Eq(t, "till", got.Header.Get(testProtocol.Tenant))
}

// fixedQuota grants a fixed number of requests.
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

func (q *fixedQuota) Refund(*catalog.Tenant) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.left++
}

// Requests beyond a tenant's quota must be refused with outcome not-run and Retry-After, and a
// request that no worker ran must return its quota.
func TestRequestsBeyondTenantQuotaAreRefused(t *testing.T) {
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

package traffic

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/logging"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// callWithKey sends a request to a path with a key and returns the response.
func (m *catalogMesh) callWithKey(method, path, key string) *http.Response {
	m.t.Helper()
	body := ""
	if method == http.MethodPost {
		body = "x"
	}
	response, _, err := m.call(method, path, body, "Authorization", "Bearer "+key)
	must.NoError(m.t, err)
	return response
}

// setAge returns the age of a node's configuration, which the test can change, and sets the time
// within which key changes must be in force to two seconds.
func (m *catalogMesh) setAge(node int) *atomic.Int64 {
	age := &atomic.Int64{}
	for _, config := range []*Config{&m.nodes[node].out.config, &m.nodes[node].in.config} {
		config.Limits.KeysInForce = 2 * time.Second
		config.ConfigurationAge = func() time.Duration { return time.Duration(age.Load()) }
	}
	return age
}

// Callers do not retry after a 401. A node whose configuration is too old to contain a new key
// therefore asks for a retry; one with a recent configuration rejects an unknown key.
func TestStaleNodeAsksForRetryOfUnknownKey(t *testing.T) {
	m := newTenantMesh(t, nil)
	var lines bytes.Buffer
	m.nodes[0].out.metrics.logger = logging.New(&lines, log.InfoLevel)
	age := m.setAge(0)
	age.Store(int64(3 * time.Second))
	response := m.callWithKey(http.MethodPost, "/order/1", "new")
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "0.200", response.Header.Get("Retry-After"))
	must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	must.StrContains(t, lines.String(), "cause=stale-keys")
	must.StrContains(t, lines.String(), "knowledge_age_ms=3000")
	must.Eq(t, http.StatusOK, m.callWithKey(http.MethodPost, "/order/1", pressKey).StatusCode)

	age.Store(int64(2 * time.Second))
	must.Eq(t, http.StatusUnauthorized, m.callWithKey(http.MethodPost, "/order/1", "new").StatusCode)
	must.Eq(t, 1, m.runs())
}

// A node configured to fail closed must accept no key once its configuration is so old that the
// key may have been withdrawn.
func TestKeysFailClosed(t *testing.T) {
	for _, public := range []bool{false, true} {
		m := newTenantMesh(t, func(route *snapshot.Route) { route.Public = public })
		age := m.setAge(0)
		m.nodes[0].out.config.Limits.KeysFailClosed = 5 * time.Second
		age.Store(int64(5 * time.Second))
		must.Eq(t, http.StatusOK, m.callWithKey(http.MethodPost, "/order/1", pressKey).StatusCode)
		age.Store(int64(6 * time.Second))
		response := m.callWithKey(http.MethodPost, "/order/1", pressKey)
		if public {
			must.Eq(t, http.StatusOK, response.StatusCode)
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, "0.200", response.Header.Get("Retry-After"))
		must.Eq(t, 1, m.runs())
	}
}

// A request whose key is withdrawn while the first worker refuses it must not be offered to a
// second one. On a public route it continues without a tenant.
func TestRequestWithWithdrawnKeyIsNotOfferedAgain(t *testing.T) {
	for _, public := range []bool{false, true} {
		m := newCatalogMesh(t, 3)
		m.publish(func(route *snapshot.Route) {
			route.Public = public
			route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
		})
		var offers atomic.Int64
		withdraw := sync.OnceFunc(func() { m.publishTenants(0, 2, []catalog.Tenant{}) })
		for node := range m.nodes {
			m.publishTenants(node, 1, pressTenant())
			m.nodes[node].in.config.ObservePeer = func(string) {
				offers.Add(1)
				withdraw()
			}
		}
		m.script("shed")
		response := m.callWithKey(http.MethodPost, "/order/1", pressKey)
		if !public {
			must.Eq(t, http.StatusUnauthorized, response.StatusCode)
			must.Eq(t, 1, offers.Load())
			must.Eq(t, 0, m.runs())
			continue
		}
		// The request continues: the second worker refuses it as well, within the allowed attempts.
		must.Eq(t, 2, offers.Load())
	}
}

// queueBehind sends a request that occupies the only slot of the second node's worker and another
// one that is queued. It returns the channel of both statuses and the function that lets them
// complete.
func (m *catalogMesh) queueBehind(path string) (waiting <-chan int, release func()) {
	node := m.nodes[1]
	view, _ := node.holder.Current(time.Now())
	view.Local.Slots = 1
	node.in.admitter.resize(1)
	node.worker.script = []string{"wait"}
	statuses := make(chan int, 2)
	send := func() {
		request, _ := http.NewRequest(http.MethodGet, m.nodes[0].outbound+path, nil)
		request.Host = "shop.example"
		request.Header.Set(testProtocol.RequestID, "q-"+strconv.FormatInt(m.serial.Add(1), 10))
		request.Header.Set(testProtocol.Deadline, "20000")
		request.Header.Set("Authorization", "Bearer "+pressKey)
		response, err := m.client.Do(request)
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}
	go send()
	waitFor(m.t, func() bool { return node.worker.runs() == 1 })
	go send()
	waitFor(m.t, func() bool { return node.in.Queued() == 1 })
	return statuses, func() { close(node.worker.unblock) }
}

// A request whose key is withdrawn while it is queued must not run. On a public route it runs
// without a tenant.
func TestQueuedRequestWithWithdrawnKeyIsNotRun(t *testing.T) {
	for _, public := range []bool{false, true} {
		m := newTenantMesh(t, func(route *snapshot.Route) { route.Public = public })
		statuses, release := m.queueBehind("/lookup/1")
		m.publishTenants(1, 2, []catalog.Tenant{})
		release()
		got := []int{<-statuses, <-statuses}
		if !public {
			must.SliceContainsAll(t, []int{http.StatusOK, http.StatusUnauthorized}, got)
			must.Eq(t, 1, m.runs())
			continue
		}
		must.Eq(t, []int{http.StatusOK, http.StatusOK}, got)
		last, _ := m.nodes[1].worker.lastRequest()
		must.SliceEmpty(t, last.Header.Values(testProtocol.Tenant))
	}
}

// A worker's node with a withdrawal in an old configuration must not reject the caller
// permanently, since the key may have been added again.
func TestStaleWithdrawalIsNotFinal(t *testing.T) {
	m := newTenantMesh(t, nil)
	age := m.setAge(1)
	m.publishTenants(1, 2, []catalog.Tenant{})
	age.Store(int64(3 * time.Second))
	must.Eq(t, http.StatusServiceUnavailable, m.callWithKey(http.MethodPost, "/order/1", pressKey).StatusCode)
	age.Store(0)
	must.Eq(t, http.StatusUnauthorized, m.callWithKey(http.MethodPost, "/order/1", pressKey).StatusCode)
	must.Eq(t, 0, m.runs())
}

// Keys change in quick succession while one connection stays open, down to no key and back.
// Either node may have an older configuration than the other.
func TestKeyChangesApplyOnPersistentConnection(t *testing.T) {
	const other = "k-press-2"
	with := func(keys ...string) []catalog.Tenant {
		tenant := catalog.Tenant{Name: press, Keys: []catalog.KeyDigest{}}
		for _, key := range keys {
			tenant.Keys = append(tenant.Keys, catalog.DigestKey(key))
		}
		return []catalog.Tenant{tenant}
	}
	m := newTenantMesh(t, nil)
	for step, now := range []struct {
		first, worker          uint64 // revisions at the first and at the worker's node
		firstKeys, workerKeys  []string
		pressStatus, newStatus int
	}{
		{1, 1, []string{pressKey}, []string{pressKey}, 200, 401},
		{3, 1, []string{pressKey, other}, []string{pressKey}, 200, 200}, // added at the first node only
		{3, 3, []string{pressKey, other}, []string{pressKey, other}, 200, 200},
		{3, 4, []string{pressKey, other}, []string{other}, 401, 200}, // withdrawn at the worker's node only
		{4, 4, []string{other}, []string{other}, 401, 200},
		{5, 4, nil, []string{other}, 401, 401}, // the last key withdrawn, at the first node only
		{4, 5, []string{other}, nil, 401, 401}, // and at the worker's node only
		{7, 5, []string{other}, nil, 401, 200}, // added again, without the revision in between
		{7, 7, []string{other}, []string{other}, 401, 200},
		{4, 7, []string{other}, []string{other}, 401, 200}, // withdrawn and added again while the first node was behind
	} {
		m.publishTenants(0, now.first, with(now.firstKeys...))
		m.publishTenants(1, now.worker, with(now.workerKeys...))
		for key, status := range map[string]int{pressKey: now.pressStatus, other: now.newStatus} {
			response := m.callWithKey(http.MethodPost, "/order/1", key)
			must.Eq(t, status, response.StatusCode, must.Sprintf("step %d, key %s", step, key))
		}
	}
}

// A request between nodes must not contain the caller's key in any header, on any route.
func TestKeyIsNotSentBetweenNodes(t *testing.T) {
	m := newCatalogMesh(t, 2)
	var sent sync.Map
	spy := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		sent.Store(fmt.Sprint(request.URL, request.Header), true)
		m.nodes[1].in.ServeHTTP(writer, request)
	}), Limits{})
	t.Cleanup(spy.Close)
	for _, public := range []bool{false, true} {
		m.publish(func(route *snapshot.Route) {
			route.Public = public
			route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
			route.Targets[0].Endpoints[0].Address = address(spy.URL)
		})
		for node := range m.nodes {
			m.publishTenants(node, 1, pressTenant())
		}
		for _, key := range []string{pressKey, "k-press-none"} {
			m.callWithKey(http.MethodPost, "/order/1", key)
			m.callWithKey(http.MethodGet, "/lookup/1", key)
		}
	}
	count := 0
	sent.Range(func(each, _ any) bool {
		count++
		must.StrNotContains(t, each.(string), "k-press")
		return true
	})
	must.Eq(t, 6, count) // four with the key, two without one on the public route
}

// A request stays in the regions that both its tenant and its route allow. The caller's node and
// the worker's node each enforce this alone.
func TestRequestStaysInRegionsOfTenantAndRoute(t *testing.T) {
	for _, allowed := range []struct {
		route, tenant []string
		status        int
	}{
		{nil, []string{"r1"}, http.StatusOK},
		{nil, []string{"r2"}, http.StatusServiceUnavailable},
		{[]string{"r1", "r2"}, []string{"r1", "r3"}, http.StatusOK},
		{[]string{"r1"}, []string{"r2"}, http.StatusServiceUnavailable},
		{[]string{"r2"}, []string{"r1"}, http.StatusServiceUnavailable},
		{[]string{"r1"}, []string{}, http.StatusOK},
	} {
		tenants := pressTenant()
		tenants[0].Regions = allowed.tenant
		for _, informed := range [][]int{{0, 1}, {0}, {1}} { // nodes that have the restrictions
			m := newTenantMesh(t, nil)
			for _, node := range informed {
				view, _ := m.nodes[node].holder.Current(time.Now())
				for _, route := range view.Routes {
					route.Regions = allowed.route
				}
				m.publishTenants(node, 1, tenants)
			}
			response := m.callWithKey(http.MethodPost, "/order/1", pressKey)
			must.Eq(t, allowed.status, response.StatusCode, must.Sprint(allowed, informed))
			must.Eq(t, allowed.status == http.StatusOK, m.runs() == 1)
			if allowed.status != http.StatusOK && slices.Contains(informed, 0) {
				must.StrContains(t, response.Header.Get(outcome.Remedy), "regions")
			}
		}
	}
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A request stays in the regions that its route allows: by the choice of the caller's node,
// and if that node's view is outdated, by the check of the worker's node. If no worker
// remains, it is refused as not run.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.publish(func(route *snapshot.Route) { route.Regions = []string{"r2"} })
	response, _, err := m.call(http.MethodPost, "/order/1", "two")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)

	m.publish(func(route *snapshot.Route) { route.Regions = []string{"r1"} })
	response, _, err = m.call(http.MethodPost, "/order/1", "two")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 1, m.runs())

	old, _ := m.nodes[0].holder.Current(time.Now())
	m.publish(func(route *snapshot.Route) { route.Regions = []string{"r2"} })
	for index := range old.Routes {
		old.Routes[index].Regions = nil
		old.Routes[index].Targets[0].Endpoints = old.Routes[index].Targets[0].Endpoints[1:]
	}
	m.nodes[0].holder.Store(old)
	response, _, err = m.call(http.MethodPost, "/order/1", "two")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, 1, m.runs())
}

package traffic

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A request for a service without capacity is refused. Sent to another service of its route,
// it would change the shares that the operator has set.
func TestTrafficSplitIsKeptWhenServiceIsFull(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) {
		route.Targets = []snapshot.Target{{Service: "shop", Weight: 1, Endpoints: route.Targets[0].Endpoints}, {Service: "away", Weight: 1, Endpoints: []snapshot.Endpoint{}}}
	})
	statuses := map[int]int{}
	for range 20 {
		response, _, err := m.call(http.MethodPost, "/order/1", "two")
		must.NoError(t, err)
		statuses[response.StatusCode]++
	}
	must.Eq(t, map[int]int{http.StatusOK: 10, http.StatusServiceUnavailable: 10}, statuses)
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
)

// forbidRepeats is a change of the operator after which requests to /lookup/ run at most once.
var forbidRepeats = map[string]func(*snapshot.View) []*snapshot.Route{
	"the route changes": func(view *snapshot.View) []*snapshot.Route {
		changed := *view.Route("lookup")
		changed.Repeatable = false
		return []*snapshot.Route{&changed, view.Route("order")}
	},
	"a longer prefix is added": func(view *snapshot.View) []*snapshot.Route {
		added := *view.Route("order")
		added.Route = declaration.Route{Name: "pay", Host: "shop.example", PathPrefix: "/lookup/pay/", Service: "shop", DeadlineMS: 60_000}
		return []*snapshot.Route{&added, view.Route("lookup"), view.Route("order")}
	},
}

// publishRoutes stores a view with other routes in each node.
func (m *catalogMesh) publishRoutes(change func(*snapshot.View) []*snapshot.Route) {
	for _, node := range m.nodes {
		view, _ := node.holder.Current(time.Now())
		changed := snapshot.NewView(view.Version, time.Now(), change(view))
		changed.Nodes, changed.Local = view.Nodes, view.Local
		node.holder.Store(changed)
	}
}

// callDuringChange sends a request to a path of /lookup/, changes the routes while its first run waits,
// and lets that run fail. It returns the status that the caller gets.
func (m *catalogMesh) callDuringChange(path, failure string, change func(*snapshot.View) []*snapshot.Route) int {
	m.script(failure)
	statuses := make(chan int, 1)
	go func() {
		response, _, err := m.call("GET", path, "")
		must.NoError(m.t, err)
		statuses <- response.StatusCode
	}()
	waitFor(m.t, func() bool { return m.runs() == 1 })
	m.script() // a second run succeeds
	m.publishRoutes(change)
	for _, node := range m.nodes {
		close(node.worker.unblock)
	}
	return <-statuses
}

// A request that fails after the operator has forbidden to repeat it is not sent to a second
// worker. Fault: the permission was taken from the configuration of the request's arrival, however
// long an attempt ran.
func TestRequestIsNotRepeatedOnceItsRouteForbidsIt(t *testing.T) {
	for name, change := range forbidRepeats {
		for failure, status := range map[string]int{"wait-error": http.StatusInternalServerError, "wait-close": http.StatusBadGateway} {
			t.Run(name+", "+failure, func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				must.Eq(t, status, m.callDuringChange("/lookup/pay/1", failure, change))
				must.Eq(t, 1, m.runs())
			})
		}
	}
}

// A change that does not concern a request leaves its repeats as they are.
func TestRequestIsRepeatedAfterOtherChanges(t *testing.T) {
	m := newCatalogMesh(t, 2)
	must.Eq(t, http.StatusOK, m.callDuringChange("/lookup/1", "wait-close", forbidRepeats["a longer prefix is added"]))
	must.Eq(t, 2, m.runs())
}

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

// A request that fails after the operator has forbidden to repeat it is not sent to a second
// worker. Fault: the permission was taken from the configuration of the request's arrival, however
// long an attempt ran.
func TestRequestIsNotRepeatedOnceItsRouteForbidsIt(t *testing.T) {
	for name, change := range forbidRepeats {
		for _, failure := range []string{"wait-error", "wait-close"} {
			t.Run(name+", "+failure, func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				m.script(failure)
				statuses := make(chan int, 1)
				go func() {
					response, _, err := m.call("GET", "/lookup/pay/1", "")
					must.NoError(t, err)
					statuses <- response.StatusCode
				}()
				waitFor(t, func() bool { return m.runs() == 1 })
				m.publishRoutes(change)
				for _, node := range m.nodes {
					close(node.worker.unblock)
				}
				must.GreaterEq(t, http.StatusInternalServerError, <-statuses)
				must.Eq(t, 1, m.runs())
			})
		}
	}
}

// A change that does not concern a request leaves its repeats as they are.
func TestRequestIsRepeatedAfterOtherChanges(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.script("wait-close")
	statuses := make(chan int, 1)
	go func() {
		response, _, err := m.call("GET", "/lookup/1", "")
		must.NoError(t, err)
		statuses <- response.StatusCode
	}()
	waitFor(t, func() bool { return m.runs() == 1 })
	m.script() // the second worker responds
	m.publishRoutes(forbidRepeats["a longer prefix is added"])
	for _, node := range m.nodes {
		close(node.worker.unblock)
	}
	must.Eq(t, http.StatusOK, <-statuses)
	must.Eq(t, 2, m.runs())
}

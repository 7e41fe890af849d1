package traffic

import "sync"

// callers detects internal routes: those that only workers of other services call, while
// they run requests. Callers outside the mesh use all machines, including those of the local
// worker's own service, so a route that is never called from there is internal. Refusing an
// internal call fails the run that made it, and a run cannot retry the call later as a caller
// can; an internal call therefore waits until its deadline instead. It is safe for concurrent use.
type callers struct {
	mutex  sync.Mutex
	routes map[string]*callCounts
}

// callCounts counts the requests of one route by the service of the caller's node: the
// worker's own or any other.
type callCounts struct{ own, others int }

const (
	minInternalCalls = 50  // requests without any from the worker's own service after which a route is internal
	maxCallCount     = 800 // sum at which both counts are halved, so that older requests lose weight
	maxTrackedRoutes = 512 // maximum number of routes; beyond it, all counts are dropped
)

func newCallers() *callers { return &callers{routes: map[string]*callCounts{}} }

// record counts one request of a route.
func (c *callers) record(route string, own bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.routes[route]
	if counts == nil {
		if len(c.routes) >= maxTrackedRoutes {
			clear(c.routes)
		}
		counts = &callCounts{}
		c.routes[route] = counts
	}
	if own {
		counts.own++
	} else {
		counts.others++
	}
	if counts.own+counts.others >= maxCallCount {
		counts.own /= 2
		counts.others /= 2
	}
}

// internal reports whether a route has been called by other services only.
func (c *callers) internal(route string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.routes[route]
	return counts != nil && counts.own == 0 && counts.others >= minInternalCalls
}

package traffic

import "sync"

// callers learns which routes only other services call. Callers outside the mesh
// are on all machines, those of the local worker's own service included; a route
// that is never called from there is one that workers of other services call while
// they run requests. Refusing such a call fails the run that made it, which cannot
// come back as a caller can: it waits to its deadline instead.
type callers struct {
	mutex  sync.Mutex
	routes map[string]*callCounts
}

// callCounts are requests of one route.
type callCounts struct{ own, others int }

const (
	enoughCalls     = 50  // without one from the own service, before a route counts as internal
	mostCalls       = 800 // then both counts are halved, so that older ones fade
	mostCallsRoutes = 512 // that are remembered
)

func newCallers() *callers { return &callers{routes: map[string]*callCounts{}} }

// note takes one request in.
func (c *callers) note(route string, own bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.routes[route]
	if counts == nil {
		if len(c.routes) >= mostCallsRoutes {
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
	if counts.own+counts.others >= mostCalls {
		counts.own /= 2
		counts.others /= 2
	}
}

// internal reports whether only other services call a route, as far as is known.
func (c *callers) internal(route string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.routes[route]
	return counts != nil && counts.own == 0 && counts.others >= enoughCalls
}

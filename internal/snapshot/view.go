package snapshot

import (
	"sync/atomic"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/declaration"
	"sliphead/internal/version"
)

// Endpoint is a worker that may currently receive requests of a route.
type Endpoint struct {
	Worker      string
	Node        string // name of the worker's node
	Zone        string
	Region      string
	Address     string // host:port of that node's inbound listener
	Slots       int
	Connections int
	ReadySince  time.Time // when this node first observed that it is ready, for slow start
	Local       bool      // whether it is the local worker
	Lapsed      bool      // whether its record was removed although it had not announced that it leaves; its node checks whether the worker still runs
}

// Route is a declared route, resolved for use by traffic.
type Route struct {
	declaration.Route
	Credential string     // value of the route's secret; "" if it has none
	Endpoints  []Endpoint // sorted by worker name; empty while no selector's window is open
	// LocalAllowed reports whether the local worker accepts requests of the route: it is
	// selected now, or was or will be selected within the schedule overlap.
	LocalAllowed bool

	// Set only for routes from a catalog.
	Targets     []Target      // with their weights; Endpoints is unused if set
	Rank        int           // priority; 0 is served first
	MaxAttempts int           // maximum number of workers that one request may be sent to
	Objective   time.Duration // latency objective; 0: none
	Upload      bool          // whether requests have large bodies
	Regions     []string      // the only regions in which its requests may be served; empty: any
	Public      bool          // whether callers need no key although there are tenants
}

// View is the configuration that traffic reads: one version, resolved at a given time for one
// node. It is immutable once published and contains no route whose service or secret is
// missing.
type View struct {
	Version   version.Version
	Resolved  time.Time
	Routes    []*Route // longest path prefix first
	Nodes     int      // number of nodes in the catalog
	Evacuated []string // zones whose workers must not receive requests
	Local     Local    // the local worker, as recorded in the catalog
	Limits    catalog.Limits
	byName    map[string]*Route
	byHost    map[string][]*Route // by host in lower case; nil: no index
	tenants   *tenants            // nil: callers need no key

	// Set only for views from a catalog.
	configuration *catalog.Configuration // from which the routes were built
	endpoints     map[string][]Endpoint  // by service, sorted by worker
}

// NewView returns a view of the given routes, which must be sorted.
func NewView(v version.Version, resolved time.Time, routes []*Route) *View {
	view := &View{Version: v, Resolved: resolved, Routes: routes, byName: make(map[string]*Route, len(routes))}
	for _, route := range routes {
		view.byName[route.Name] = route
	}
	return view
}

// Route returns the route of that name, or nil if there is none.
func (v *View) Route(name string) *Route { return v.byName[name] }

// Holder passes views from control to traffic. Store and Renew are called by control only;
// Current may be called concurrently by any goroutine.
type Holder struct {
	view  atomic.Pointer[View]
	until atomic.Pointer[time.Time]
}

// Store publishes a view.
func (h *Holder) Store(view *View) { h.view.Store(view) }

// Renew extends the lease during which views may be used for new requests.
func (h *Holder) Renew(until time.Time) { h.until.Store(&until) }

// Current returns the newest view, and false if there is none yet or the lease has expired,
// which means that the process was paused and its view may be outdated. The lease expires by
// the monotonic clock or by the wall clock, whichever is first, because the monotonic clock
// stops while a machine is suspended.
func (h *Holder) Current(now time.Time) (*View, bool) {
	view := h.view.Load()
	until := h.until.Load()
	if view == nil || until == nil {
		return view, false
	}
	return view, now.Before(*until) && now.Round(0).Before(until.Round(0))
}

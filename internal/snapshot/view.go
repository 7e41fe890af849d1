package snapshot

import (
	"sync/atomic"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/declaration"
	"sliphead/internal/version"
)

// Endpoint is a worker that a route may reach now.
type Endpoint struct {
	Worker      string
	Node        string // name of the node beside the worker
	Zone        string
	Region      string
	Address     string // host:port of that node's inbound listener
	Slots       int
	Connections int
	ReadySince  time.Time // when this node first saw it ready, for slow start
	Local       bool      // whether the worker is the one beside this node
	Lapsed      bool      // whether its record is gone without a word of leaving: its node knows whether it lives
}

// Route is a declared route with all that it needs.
type Route struct {
	declaration.Route
	Credential string     // the secret's value, "" when the route names none
	Endpoints  []Endpoint // sorted by worker name; empty when no selector's window is open
	// Overlap holds whether the local worker is selected, or was until the
	// schedule overlap ago: the last hop accepts such requests.
	LocalAllowed bool

	// What only a catalog tells.
	Targets     []Target      // with their weights; Endpoints is unused then
	Rank        int           // priority, 0 is served first
	MaxAttempts int           // workers that one request may be sent to
	Objective   time.Duration // the latency within which an answer is worth most; 0: none
	Upload      bool          // whether bodies are large
	Regions     []string      // in which alone its requests may be; empty: in any
	Public      bool          // whether callers need no key where there are tenants
}

// View is what traffic reads: one version, resolved at one moment for one
// node. It is immutable and never holds a route whose service or secret is
// missing.
type View struct {
	Version   version.Version
	Resolved  time.Time
	Routes    []*Route // longest path prefix first
	Nodes     int      // nodes that a catalog tells of
	Evacuated []string // zones whose workers are to be sent nothing
	Local     Local    // the worker beside this node, as a catalog records it
	Limits    catalog.Limits
	byName    map[string]*Route
	byHost    map[string][]*Route // by host in lower case; nil: not indexed
	tenants   *tenants            // nil: callers need no key

	// What only a catalog tells.
	configuration *catalog.Configuration // that the routes were made of
	endpoints     map[string][]Endpoint  // by service, sorted by worker
}

// NewView returns a view over routes sorted by the caller.
func NewView(v version.Version, resolved time.Time, routes []*Route) *View {
	view := &View{Version: v, Resolved: resolved, Routes: routes, byName: make(map[string]*Route, len(routes))}
	for _, route := range routes {
		view.byName[route.Name] = route
	}
	return view
}

// Route returns the route of that name, nil if there is none.
func (v *View) Route(name string) *Route { return v.byName[name] }

// Holder publishes views from control to traffic. Only control stores; any
// goroutine may load.
type Holder struct {
	view  atomic.Pointer[View]
	until atomic.Pointer[time.Time]
}

// Store publishes a view.
func (h *Holder) Store(view *View) { h.view.Store(view) }

// Renew extends the lease within which views may be used for new requests.
func (h *Holder) Renew(until time.Time) { h.until.Store(&until) }

// Current returns the newest view, and false when there is none yet or the
// lease has ended: the process was paused and may believe things long past. It
// ends by the monotonic clock or by the wall clock, whichever is first, because
// the monotonic clock stands still while a machine is suspended.
func (h *Holder) Current(now time.Time) (*View, bool) {
	view := h.view.Load()
	until := h.until.Load()
	if view == nil || until == nil {
		return view, false
	}
	return view, now.Before(*until) && now.Round(0).Before(until.Round(0))
}

package snapshot

import (
	"net"
	"slices"
	"strings"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/declaration"
	"sliphead/internal/version"
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service   string
	Weight    int
	Endpoints []Endpoint // for this route only; nil: the view's endpoints of the service
}

// Local is the local worker's instance, as recorded in the catalog.
type Local struct {
	Instance      string // its incarnation, so that measurements of a previous incarnation are not applied to it
	ID            string // id by which requests address it
	Service       string
	Slots         int // maximum number of concurrent requests
	Connections   int // maximum number of open connections; 0: unspecified
	Draining      bool
	Evacuated     bool          // whether no requests are to be sent to its zone
	ColdRemaining time.Duration // remaining cold time when its record was written
	ColdStart     time.Duration // duration of the cold start of workers of its service
	ColdPerSecond float64       // requests a second that it can serve while it is cold; 0: not bounded
	HealthPath    string        // path of its health check; "" if it has none
	Lapsed        bool          // whether its record was removed although it had not announced that it leaves
	AcceptedUntil time.Time     // if Lapsed: until when, by package clock, it may still receive requests
}

// LapsedInstance is an instance whose record was removed although it had not announced that it
// leaves.
type LapsedInstance struct {
	catalog.Instance
	AcceptedUntil time.Time // until when, by package clock, it may still receive requests
}

// CatalogInput is the input for the resolution of a catalog.
type CatalogInput struct {
	At            time.Time
	WorkerAddress string            // host:port of the local worker
	InboundPort   string            // port of every node's inbound listener
	Regions       map[string]string // by zone
	Lapsed        []LapsedInstance
	Zone          string // of this node
	Previous      *View  // the previous view, whose routes are reused while the configuration is unchanged; nil: none
}

// FromCatalog returns the view of a catalog, or nil while the catalog has no configuration.
// Draining instances are not endpoints.
func FromCatalog(state *catalog.State, input CatalogInput) *View {
	configuration := state.Configuration()
	if configuration == nil {
		return nil
	}
	instances := state.Instances()
	view := viewWithRoutes(configuration, input)
	view.Evacuated = state.Evacuated()
	view.endpoints = endpointsByService(instances, configuration, input, view.Evacuated)
	view.Nodes = len(instances)
	view.Local = localInstance(instances, configuration, input)
	view.Local.Evacuated = slices.Contains(view.Evacuated, input.Zone)
	return view
}

// viewWithRoutes returns a view with the configuration's routes and without instances. Routes
// are built only once for each configuration: workers change far more often, all nodes build a
// view after each change, and a mesh of hundreds of nodes has thousands of routes.
func viewWithRoutes(configuration *catalog.Configuration, input CatalogInput) *View {
	if previous := input.Previous; previous != nil && previous.configuration == configuration {
		copied := *previous
		copied.Resolved = input.At
		return &copied
	}
	storage := make([]Route, len(configuration.Routes))
	routes := make([]*Route, len(configuration.Routes))
	for index := range configuration.Routes {
		storage[index] = catalogRoute(&configuration.Routes[index])
		routes[index] = &storage[index]
	}
	slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	view := NewView(version.Version{Revision: configuration.Version}, input.At, routes)
	view.indexHosts()
	view.Limits = configuration.Limits
	view.tenants = newTenants(configuration.Tenants)
	view.configuration = configuration
	return view
}

// EndpointsOf returns the endpoints of a route's target.
func (v *View) EndpointsOf(target Target) []Endpoint {
	if target.Endpoints != nil {
		return target.Endpoints
	}
	return v.endpoints[target.Service]
}

// endpointsByService returns the endpoints of instances that accept requests, and of lapsed
// ones. Evacuated zones have no endpoints.
func endpointsByService(instances []catalog.Instance, configuration *catalog.Configuration, input CatalogInput, evacuated []string) map[string][]Endpoint {
	endpoints := make(map[string][]Endpoint)
	add := func(instance catalog.Instance, lapsed bool) {
		host, _, err := net.SplitHostPort(instance.Address)
		if err != nil || instance.Draining || slices.Contains(evacuated, instance.Zone) {
			return
		}
		endpoints[instance.Service] = append(endpoints[instance.Service], Endpoint{
			Worker:      instance.Incarnation(),
			Node:        host,
			Zone:        instance.Zone,
			Region:      input.Regions[instance.Zone],
			Address:     net.JoinHostPort(host, input.InboundPort),
			Slots:       instance.Capacity,
			Connections: configuration.Services[instance.Service].MaxConnections,
			Local:       instance.Address == input.WorkerAddress,
			Lapsed:      lapsed,
		})
	}
	for _, instance := range instances {
		add(instance, false)
	}
	for _, lapsed := range input.Lapsed {
		add(lapsed.Instance, true)
	}
	return endpoints
}

func catalogRoute(from *catalog.Route) Route {
	route := Route{
		Route: declaration.Route{
			Name:       from.Name,
			Host:       from.Host,
			PathPrefix: from.PathPrefix,
			Service:    from.Targets[0].Service,
			Repeatable: from.Repeatable,
			DeadlineMS: from.Timeout.Milliseconds(),
		},
		Rank:        from.Priority,
		MaxAttempts: max(1, from.MaxAttempts),
		Objective:   from.Target,
		Upload:      from.Upload,
		Regions:     from.Regions,
		Public:      from.Public,
	}
	for _, target := range from.Targets {
		if target.Weight > 0 {
			route.Targets = append(route.Targets, Target{Service: target.Service, Weight: target.Weight})
		}
	}
	return route
}

// localInstance returns the instance at the worker's address, or a zero Local if there is none.
func localInstance(instances []catalog.Instance, configuration *catalog.Configuration, input CatalogInput) Local {
	for _, instance := range instances {
		if instance.Address == input.WorkerAddress {
			return localOf(instance, configuration)
		}
	}
	for _, lapsed := range input.Lapsed {
		if lapsed.Address == input.WorkerAddress {
			local := localOf(lapsed.Instance, configuration)
			local.Lapsed, local.AcceptedUntil = true, lapsed.AcceptedUntil
			return local
		}
	}
	return Local{}
}

func localOf(instance catalog.Instance, configuration *catalog.Configuration) Local {
	service := configuration.Services[instance.Service]
	return Local{
		Instance:      instance.Incarnation(),
		ID:            instance.ID,
		Service:       instance.Service,
		Slots:         instance.Capacity,
		Connections:   service.MaxConnections,
		Draining:      instance.Draining,
		ColdRemaining: instance.ColdRemaining,
		ColdStart:     service.ColdStart,
		ColdPerSecond: service.ColdPerSecond,
		HealthPath:    service.HealthPath,
	}
}

// indexHosts builds the index by which Match finds the routes of a host without a scan of all
// routes.
func (v *View) indexHosts() {
	v.byHost = make(map[string][]*Route)
	for _, route := range v.Routes {
		host := strings.ToLower(route.Host)
		v.byHost[host] = append(v.byHost[host], route)
	}
}

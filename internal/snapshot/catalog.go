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

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service   string
	Weight    int
	Endpoints []Endpoint // of this route alone; nil: the view's of the service
}

// Local is the instance beside this node, as the catalog records it.
type Local struct {
	Instance      string // its incarnation: what is learnt of it is not of the one before
	ID            string // by which requests name it to itself
	Service       string
	Slots         int // requests that it runs at once
	Connections   int // open connections to it at most, 0: not told
	Draining      bool
	Evacuated     bool          // whether its zone is to be sent nothing
	Cold          time.Duration // for how long it was cold when its record was written
	ColdStart     time.Duration // for how long a worker of its service is cold after its start
	ColdPerSecond float64       // requests a second that it bears while it is cold; 0: not bounded
	HealthPath    string        // on which it tells of itself, "" if it doesn't
	Lapsed        bool          // whether its record is gone without a word of leaving
	Until         time.Time     // of one that lapsed: until when, by package clock, it may be sent requests all the same
}

// LapsedInstance is an instance whose record is gone without a word of leaving.
type LapsedInstance struct {
	catalog.Instance
	Until time.Time // until when, by package clock, it may be sent requests all the same
}

// CatalogInput is what a catalog is resolved with.
type CatalogInput struct {
	At            time.Time
	WorkerAddress string            // host:port of the worker beside this node
	InboundPort   string            // on which every node takes requests for its worker
	Regions       map[string]string // by zone
	Lapsed        []LapsedInstance
	Zone          string // of this node
	Before        *View  // the view before, whose routes serve on while the configuration is the same; nil: none
}

// FromCatalog returns the view of a catalog, nil while it holds no
// configuration. A draining instance is no endpoint.
func FromCatalog(state *catalog.State, input CatalogInput) *View {
	configuration := state.Configuration()
	if configuration == nil {
		return nil
	}
	instances := state.Instances()
	view := viewOfRoutes(configuration, input)
	view.Evacuated = state.Evacuated()
	view.endpoints = endpointsByService(instances, configuration, input, view.Evacuated)
	view.Nodes = len(instances)
	view.Local = localInstance(instances, configuration, input)
	view.Local.Evacuated = slices.Contains(view.Evacuated, input.Zone)
	return view
}

// viewOfRoutes returns a view with the configuration's routes and without instances.
// Routes are made once for each configuration: workers change far more often, on each
// change all nodes make a view, and a mesh of hundreds of nodes has thousands of routes.
func viewOfRoutes(configuration *catalog.Configuration, input CatalogInput) *View {
	if before := input.Before; before != nil && before.configuration == configuration {
		same := *before
		same.Resolved = input.At
		return &same
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

// endpointsByService returns the endpoints of instances that take requests, and of
// those that lapsed. Evacuated zones have none.
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

// localInstance returns the instance at the worker's address.
func localInstance(instances []catalog.Instance, configuration *catalog.Configuration, input CatalogInput) Local {
	for _, instance := range instances {
		if instance.Address == input.WorkerAddress {
			return localOf(instance, configuration)
		}
	}
	for _, lapsed := range input.Lapsed {
		if lapsed.Address == input.WorkerAddress {
			local := localOf(lapsed.Instance, configuration)
			local.Lapsed, local.Until = true, lapsed.Until
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
		Cold:          instance.ColdRemaining,
		ColdStart:     service.ColdStart,
		ColdPerSecond: service.ColdPerSecond,
		HealthPath:    service.HealthPath,
	}
}

// indexHosts lets Match find the routes of one host without looking at others.
func (v *View) indexHosts() {
	v.byHost = make(map[string][]*Route)
	for _, route := range v.Routes {
		host := strings.ToLower(route.Host)
		v.byHost[host] = append(v.byHost[host], route)
	}
}

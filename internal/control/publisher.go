package control

import (
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// publisher turns the active set and the live endpoints into views.
type publisher struct {
	config       Config
	compiled     *snapshot.Compiled
	document     *declaration.Document
	version      version.Version
	live         func() []wire.Member // sorted by name
	members      []wire.Member        // live when the last view was published
	readySince   map[endpointIdentity]time.Time
	dirty        bool
	nextBoundary time.Time // wall clock at which a schedule opens or closes
	lastPublish  time.Time
}

// endpointIdentity tells a restarted worker from its former self.
type endpointIdentity struct {
	node  string
	start int64
}

func newPublisher(config Config, live func() []wire.Member) *publisher {
	return &publisher{config: config, live: live, readySince: make(map[endpointIdentity]time.Time)}
}

// setActive compiles a set that comes into force. The set before stays when the
// new one can't be compiled.
func (p *publisher) setActive(set *snapshot.Set) error {
	compiled, err := snapshot.Compile(set)
	if err != nil {
		return err
	}
	p.document = set.Document()
	p.compiled = compiled
	p.version = set.Version()
	p.dirty = true
	return nil
}

// takeMembers notes who is live, and since when each endpoint is ready.
func (p *publisher) takeMembers(now time.Time) {
	p.members = p.live()
	since := make(map[endpointIdentity]time.Time, len(p.members))
	for _, member := range p.members {
		if member.Endpoint != wire.EndpointReady {
			continue
		}
		identity := endpointIdentity{node: member.Name, start: member.Start}
		first, known := p.readySince[identity]
		if !known {
			first = now
		}
		since[identity] = first
	}
	p.readySince = since
}

// publishIfDue publishes when something changed or a schedule boundary passed.
func (p *publisher) publishIfDue(wallClock, now time.Time) {
	if p.compiled == nil {
		return
	}
	if !p.dirty && !p.boundaryPassed(wallClock) {
		return
	}
	if now.Sub(p.lastPublish) < publishSpacing {
		return
	}
	p.publishNow(wallClock, now)
}

// publishReady publishes what has changed before traffic may use the view.
func (p *publisher) publishReady(wallClock, now time.Time) {
	if p.compiled != nil && (p.dirty || p.boundaryPassed(wallClock)) {
		p.publishNow(wallClock, now)
	}
}

// boundaryPassed reports whether a schedule has opened or closed since the last
// view. A zero boundary means that none is near.
func (p *publisher) boundaryPassed(wallClock time.Time) bool {
	return !p.nextBoundary.IsZero() && !wallClock.Before(p.nextBoundary)
}

// publishNow resolves and publishes a view.
func (p *publisher) publishNow(wallClock, now time.Time) {
	p.takeMembers(now)
	p.dirty = false
	p.lastPublish = now
	p.nextBoundary = p.compiled.NextResolve(wallClock, p.config.Overlap)
	p.config.Holder.Store(p.compiled.Resolve(snapshot.ResolveInput{
		At:          wallClock,
		Overlap:     p.config.Overlap,
		LocalWorker: p.config.LocalWorker,
		Endpoints:   p.endpoints(),
	}))
	p.config.Claims.Configure(p.claimConfiguration())
}

// endpoints returns the live ready endpoints.
func (p *publisher) endpoints() []snapshot.Endpoint {
	var endpoints []snapshot.Endpoint
	for _, member := range p.members {
		if member.Endpoint != wire.EndpointReady || member.Status == wire.StatusLeaving {
			continue
		}
		endpoints = append(endpoints, snapshot.Endpoint{
			Worker:     member.Worker,
			Node:       member.Name,
			Zone:       member.Zone,
			Region:     member.Region,
			Address:    member.Inbound,
			ReadySince: p.readySince[endpointIdentity{node: member.Name, start: member.Start}],
		})
	}
	return endpoints
}

// claimConfiguration returns the declared workers of the local worker's service
// and the live nodes beside workers of it, the newest of each worker. A node
// takes part in the claims of no other service.
func (p *publisher) claimConfiguration() claim.Configure {
	service := p.config.Membership.Self.Service
	configuration := claim.Configure{
		Version: p.version,
		Workers: make(map[string][]claim.Worker),
		Nodes:   make(map[string]string),
	}
	for _, worker := range p.document.Workers {
		if worker.Service == service {
			configuration.Workers[service] = append(configuration.Workers[service], claim.Worker{Name: worker.Name, Zone: worker.Zone})
		}
	}
	newest := make(map[string]int64)
	for _, member := range p.members {
		if member.Worker == "" || member.Service != service || member.Start < newest[member.Worker] {
			continue
		}
		newest[member.Worker] = member.Start
		configuration.Nodes[member.Worker] = member.Name
	}
	return configuration
}

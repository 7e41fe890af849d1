package control

import (
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// publisher resolves the active set and the live endpoints to views and publishes
// them.
type publisher struct {
	config       Config
	compiled     *snapshot.Compiled
	document     *declaration.Document
	version      version.Version
	live         func() []wire.Member // sorted by name
	members      []wire.Member        // live members of the last published view
	readySince   map[endpointIdentity]time.Time
	dirty        bool
	nextBoundary time.Time // wall clock time from which schedules may change the view, zero if they never do
	lastPublish  time.Time
}

// endpointIdentity distinguishes a restarted node from its former process.
type endpointIdentity struct {
	node  string
	start int64
}

func newPublisher(config Config, live func() []wire.Member) *publisher {
	return &publisher{config: config, live: live, readySince: make(map[endpointIdentity]time.Time)}
}

// setActive compiles a set and makes it the active one. On an error the previous set
// stays active.
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

// refreshMembers updates the live members and since when each endpoint is ready.
func (p *publisher) refreshMembers(now time.Time) {
	p.members = p.live()
	since := make(map[endpointIdentity]time.Time, len(p.members))
	for _, member := range p.members {
		if member.Endpoint != wire.EndpointReady {
			continue
		}
		identity := endpointIdentity{node: member.Name, start: member.Start}
		first, found := p.readySince[identity]
		if !found {
			first = now
		}
		since[identity] = first
	}
	p.readySince = since
}

// publishIfDue publishes a view when members or declarations have changed or a
// schedule boundary has passed, at most once per minPublishInterval.
func (p *publisher) publishIfDue(wallClock, now time.Time) {
	if p.compiled == nil {
		return
	}
	if !p.dirty && !p.boundaryPassed(wallClock) {
		return
	}
	if now.Sub(p.lastPublish) < minPublishInterval {
		return
	}
	p.publishNow(wallClock, now)
}

// publishReady publishes pending changes at once, before traffic may use the view.
func (p *publisher) publishReady(wallClock, now time.Time) {
	if p.compiled != nil && (p.dirty || p.boundaryPassed(wallClock)) {
		p.publishNow(wallClock, now)
	}
}

// boundaryPassed reports whether a schedule has opened or closed, or the overlap around
// such a moment has begun or ended, since the last view. A zero nextBoundary means that no
// schedule ever opens or closes: all repeat weekly, and Compiled.NextResolve looks sixteen
// days ahead.
func (p *publisher) boundaryPassed(wallClock time.Time) bool {
	return !p.nextBoundary.IsZero() && !wallClock.Before(p.nextBoundary)
}

// publishNow resolves and publishes a view.
func (p *publisher) publishNow(wallClock, now time.Time) {
	p.refreshMembers(now)
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

// endpoints returns the ready endpoints of live members that are not leaving.
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

// claimConfiguration returns the declared workers of the local worker's service and
// the live node of each, the most recently started one if there are several. A node
// takes part only in the claims of its own worker's service.
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

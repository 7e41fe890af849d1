package simulation

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

const (
	drainBound     = 5 * time.Second // until no view names an endpoint that drains
	catchUpTimeout = 3 * time.Second // of distribution's defaults
)

// catching is what the oracle expects of a process that started or resumed.
type catching struct {
	due     bool            // whether it has still to become current
	since   time.Time       // of the start or the resumption
	changes int             // of the fleet, by then
	floor   version.Version // at least in force on every node within reach, then
	heard   bool            // whether something came that was sent since
}

// floorFor returns what a process that starts or resumes now must not be behind.
func (f *fleet) floorFor(p *process) catching {
	found := catching{due: true, since: time.Now(), changes: f.changes}
	for index, other := range f.withinReach(p) {
		if index == 0 || found.floor.After(other.version) {
			found.floor = other.version
		}
	}
	return found
}

// withinReach returns the other processes that a process can reach now.
func (f *fleet) withinReach(p *process) []*process {
	return slices.DeleteFunc(f.live(), func(other *process) bool {
		return other.node == p.node || other.gate != nil || other.node.side != p.node.side
	})
}

func (p *process) heard(sent time.Time) {
	if sent.After(p.catching.since) {
		p.catching.heard = true
	}
}

// checkView checks a view that was just published.
func (f *fleet) checkView(p *process) {
	view, _ := p.holder.Current(p.clock())
	name := p.node.name
	if p.version.After(view.Version) {
		f.fail("%s went back from %s to %s", name, p.version, view.Version)
	}
	p.version = view.Version
	f.mutex.Lock()
	e := f.published[view.Version]
	f.mutex.Unlock()
	if e == nil || !e.sound {
		f.fail("%s has %s in force, which was not published or is bad", name, view.Version)
		return
	}
	endpoints := endpointsOf(view)
	wanted, err := snapshot.Resolve(e.whole, snapshot.ResolveInput{
		At: view.Resolved, Overlap: overlap, LocalWorker: p.node.worker, Endpoints: endpoints,
	})
	if err != nil {
		f.fail("%s: %v", name, err)
		return
	}
	if !slices.EqualFunc(wanted.Routes, view.Routes, sameRoute) {
		f.fail("%s has a view of %s that is not that of the whole version", name, view.Version)
	}
}

// endpointsOf returns the distinct endpoints of all routes.
func endpointsOf(view *snapshot.View) []snapshot.Endpoint {
	var endpoints []snapshot.Endpoint
	for _, route := range view.Routes {
		for _, endpoint := range route.Endpoints {
			if !slices.Contains(endpoints, endpoint) {
				endpoints = append(endpoints, endpoint)
			}
		}
	}
	return endpoints
}

func sameRoute(a, b *snapshot.Route) bool {
	return a.Name == b.Name && a.PathPrefix == b.PathPrefix && a.Service == b.Service && a.Secret == b.Secret &&
		a.Credential == b.Credential && a.LocalAllowed == b.LocalAllowed && slices.Equal(a.Endpoints, b.Endpoints)
}

// check looks at a process between two events of its loop.
func (p *process) check() {
	if p.isDead() {
		return
	}
	view, current := p.holder.Current(p.clock())
	if current && p.catching.due {
		p.catching.due = false
		p.checkCaughtUp(view)
	}
	p.current = current
	if current {
		p.checkDrained(view)
	}
}

// checkCaughtUp checks a process that just became current.
func (p *process) checkCaughtUp(view *snapshot.View) {
	f, c := p.node.fleet, p.catching
	if !c.heard && time.Since(c.since) < catchUpTimeout {
		f.fail("%s is current before it heard anything", p.node.name)
	}
	if f.changes != c.changes {
		return // whom it might have heard is not who was there
	}
	if p.logged["catchup.alone"] > 0 && !f.mustMeet(p) {
		return // it says itself that it met nobody
	}
	if c.floor.After(view.Version) {
		f.fail("%s is current with %s, all within its reach had %s", p.node.name, view.Version, c.floor)
	}
}

// mustMeet reports whether a node has an address of another that lives, and a
// network that loses nothing.
func (f *fleet) mustMeet(p *process) bool {
	return f.faults.loss == 0 && len(f.withinReach(p)) > 0 && f.listsAll
}

// checkDrained checks that a view in use names no endpoint that drains for long.
func (p *process) checkDrained(view *snapshot.View) {
	f := p.node.fleet
	for _, endpoint := range endpointsOf(view) {
		for _, n := range f.nodes {
			if n.name != endpoint.Node || n.drained == nil || n.side != p.node.side || n.process == nil {
				continue
			}
			from := latest(*n.drained, f.healed, p.started, n.process.started)
			if time.Since(from) > drainBound {
				f.fail("%s sends to %s, which drains for %s", p.node.name, n.name, time.Since(*n.drained))
			}
		}
	}
}

func latest(moments ...time.Time) time.Time { return slices.MaxFunc(moments, time.Time.Compare) }

// checkResumption checks, before anything else runs, that traffic of a process
// that was paused for longer than the lease can't use its view.
func (f *fleet) checkResumption(p *process) {
	if time.Since(p.paused) <= lease {
		return
	}
	if _, current := p.holder.Current(p.clock()); current {
		f.fail("%s may send after a pause of %s", p.node.name, time.Since(p.paused))
	}
	p.catching = f.floorFor(p)
	p.catching.changes++ // the resumption itself
}

// sample looks at all processes.
func (f *fleet) sample() {
	for _, p := range f.live() {
		if p.gate == nil {
			p.check()
		}
	}
	f.report()
}

// readers counts the processes that have the duty to read the source.
func (f *fleet) readers() int {
	count := 0
	for _, p := range f.live() {
		if p.reader {
			count++
		}
	}
	return count
}

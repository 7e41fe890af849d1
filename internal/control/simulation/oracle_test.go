package simulation

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

const (
	drainBound     = 5 * time.Second // maximum time for which views contain a draining endpoint
	catchUpTimeout = 3 * time.Second // default of distribution
)

// catchUpExpectation is what the oracle expects of a process that started or resumed.
type catchUpExpectation struct {
	pending         bool            // whether the process has yet to become current
	since           time.Time       // of the start or the resumption
	topologyChanges int             // fleet.topologyChanges at that time
	minVersion      version.Version // minimum active version of the reachable nodes at that time
	received        bool            // whether a message sent after since has arrived
}

// expectCatchUp returns the expectation for a process that starts or resumes now.
func (f *fleet) expectCatchUp(p *process) catchUpExpectation {
	found := catchUpExpectation{pending: true, since: time.Now(), topologyChanges: f.topologyChanges}
	for index, other := range f.reachable(p) {
		if index == 0 || found.minVersion.After(other.version) {
			found.minVersion = other.version
		}
	}
	return found
}

// reachable returns the other running processes on the same side of the cut.
func (f *fleet) reachable(p *process) []*process {
	return slices.DeleteFunc(f.live(), func(other *process) bool {
		return other.node == p.node || other.resumeSignal != nil || other.node.partitionSide != p.node.partitionSide
	})
}

func (p *process) recordArrival(sent time.Time) {
	if sent.After(p.catchUp.since) {
		p.catchUp.received = true
	}
}

// checkView verifies a view that was just published: its version is not older than
// the previous one, was published by the source and is valid, and its routes are
// those of the complete version.
func (f *fleet) checkView(p *process) {
	view, _ := p.holder.Current(p.clock())
	name := p.node.name
	if p.version.After(view.Version) {
		f.recordViolation("%s rolled back from %s to %s", name, p.version, view.Version)
	}
	p.version = view.Version
	f.mutex.Lock()
	e := f.published[view.Version]
	f.mutex.Unlock()
	if e == nil || !e.valid {
		f.recordViolation("%s has activated %s, which was not published or is invalid", name, view.Version)
		return
	}
	endpoints := endpointsOf(view)
	expected, err := snapshot.Resolve(e.complete, snapshot.ResolveInput{
		At: view.Resolved, Overlap: overlap, LocalWorker: p.node.worker, Endpoints: endpoints,
	})
	if err != nil {
		f.recordViolation("%s: %v", name, err)
		return
	}
	if !slices.EqualFunc(expected.Routes, view.Routes, sameRoute) {
		f.recordViolation("%s has a view of %s that differs from the view of the complete version", name, view.Version)
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

// check verifies a process between two events of its loop.
func (p *process) check() {
	if p.isDead() {
		return
	}
	view, current := p.holder.Current(p.clock())
	if current && p.catchUp.pending {
		p.catchUp.pending = false
		p.checkCaughtUp(view)
	}
	p.current = current
	if current {
		p.checkDrained(view)
	}
}

// checkCaughtUp verifies a process that just became current.
func (p *process) checkCaughtUp(view *snapshot.View) {
	f, c := p.node.fleet, p.catchUp
	if !c.received && time.Since(c.since) < catchUpTimeout {
		f.recordViolation("%s is current before it has received any message", p.node.name)
	}
	if f.topologyChanges != c.topologyChanges {
		return // the reachable nodes have changed, so the expectation no longer holds
	}
	if p.logCounts["catchup.alone"] > 0 && !f.mustFindPeer(p) {
		return // it has logged that it found no peer
	}
	if c.minVersion.After(view.Version) {
		f.recordViolation("%s is current with %s, although all reachable nodes had at least %s", p.node.name, view.Version, c.minVersion)
	}
}

// mustFindPeer reports whether a process must find a peer: it has the address of a
// reachable process, and the network loses no message.
func (f *fleet) mustFindPeer(p *process) bool {
	return f.faults.loss == 0 && len(f.reachable(p)) > 0 && f.listComplete
}

// checkDrained verifies that a view in use contains no endpoint that has been
// draining for longer than drainBound.
func (p *process) checkDrained(view *snapshot.View) {
	f := p.node.fleet
	for _, endpoint := range endpointsOf(view) {
		for _, n := range f.nodes {
			if n.name != endpoint.Node || n.drainedAt == nil || n.partitionSide != p.node.partitionSide || n.process == nil {
				continue
			}
			from := latest(*n.drainedAt, f.linksChangedAt, p.started, n.process.started)
			if time.Since(from) > drainBound {
				f.recordViolation("%s sends to %s, which has been draining for %s", p.node.name, n.name, time.Since(*n.drainedAt))
			}
		}
	}
}

func latest(moments ...time.Time) time.Time { return slices.MaxFunc(moments, time.Time.Compare) }

// checkResumption verifies, before the resumed process runs, that traffic can't use
// its view after a pause longer than the lease.
func (f *fleet) checkResumption(p *process) {
	if time.Since(p.pausedAt) <= lease {
		return
	}
	if _, current := p.holder.Current(p.clock()); current {
		f.recordViolation("%s may still use its view after a pause of %s", p.node.name, time.Since(p.pausedAt))
	}
	p.catchUp = f.expectCatchUp(p)
	p.catchUp.topologyChanges++ // the resumption itself
}

// checkAll verifies all processes that are not paused, and reports violations.
func (f *fleet) checkAll() {
	for _, p := range f.live() {
		if p.resumeSignal == nil {
			p.check()
		}
	}
	f.failOnViolations()
}

// readers returns the number of processes that have the duty to read the source.
func (f *fleet) readers() int {
	count := 0
	for _, p := range f.live() {
		if p.reader {
			count++
		}
	}
	return count
}

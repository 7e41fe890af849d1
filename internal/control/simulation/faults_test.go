package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// faultPlan draws random faults and changes of the declarations.
type faultPlan struct {
	*fleet
	epoch, revision uint64
	written         []*declarationSet
}

func (p *faultPlan) node(t *rapid.T) *node {
	return p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(t, "node")]
}

// publishDrawn publishes declarations to all nodes or to a random subset, as if only
// some replicas of the source had them.
func (p *faultPlan) publishDrawn(t *rapid.T, e *declarationSet) {
	p.written = append(p.written, e)
	nodes := p.nodes
	if !rapid.Bool().Draw(t, "everywhere") {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(*node) bool { return rapid.Bool().Draw(t, "hidden") })
	}
	p.publish(e, nodes...)
}

func (p *faultPlan) change(t *rapid.T) {
	p.revision++
	p.publishDrawn(t, p.declare(p.epoch, p.revision, "", rapid.IntRange(0, 4).Draw(t, "bad") != 0))
}

// race publishes two versions in a row. Nodes may see them in reverse order.
func (p *faultPlan) race(t *rapid.T) {
	p.change(t)
	p.change(t)
	if rapid.Bool().Draw(t, "crossed") {
		p.publishDrawn(t, p.written[len(p.written)-2])
	}
}

// equivocate publishes different contents under one epoch and revision.
func (p *faultPlan) equivocate(t *rapid.T) {
	p.revision = max(p.revision, 1)
	p.publishDrawn(t, p.declare(p.epoch, p.revision, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "variant"), true))
}

// restore restores an old copy of the source under a new epoch, with a lower revision.
func (p *faultPlan) restore(t *rapid.T) {
	p.epoch++
	p.revision = max(p.revision/2, 1)
	p.publishDrawn(t, p.declare(p.epoch, p.revision, "", true))
}

func (p *faultPlan) staleSource(t *rapid.T) {
	if len(p.written) > 0 {
		p.node(t).source = rapid.SampledFrom(p.written).Draw(t, "old")
	}
}

func (p *faultPlan) sourceOutage(t *rapid.T) {
	all := rapid.Bool().Draw(t, "all")
	for _, n := range p.nodes {
		if all || rapid.Bool().Draw(t, "down") {
			n.source = nil
		}
	}
}

// secretLate decides at random for each node whether it can read the secret's value.
func (p *faultPlan) secretLate(t *rapid.T) {
	for _, n := range p.nodes {
		n.secretLate = rapid.Bool().Draw(t, "late")
	}
}

func (p *faultPlan) kill(t *rapid.T) { p.node(t).kill() }

func (p *faultPlan) killReaders(*rapid.T) {
	for _, running := range p.live() {
		if running.reader {
			running.node.kill()
		}
	}
}

func (p *faultPlan) restart(t *rapid.T) { p.node(t).start(drawOffset(t)) }

// restartDead starts all nodes without a process at once.
func (p *faultPlan) restartDead(*rapid.T) {
	for _, n := range p.nodes {
		if n.process == nil {
			n.start(0)
		}
	}
}

func drawOffset(t *rapid.T) time.Duration {
	offsets := []time.Duration{0, 0, 0, 500 * time.Millisecond, 90 * time.Second, -90 * time.Second}
	return rapid.SampledFrom(offsets).Draw(t, "offset")
}

func (p *faultPlan) freeze(t *rapid.T) { p.node(t).freeze(rapid.Bool().Draw(t, "clockRead")) }

func (p *faultPlan) resume(t *rapid.T) { p.node(t).resume() }

func (p *faultPlan) drain(t *rapid.T) { p.node(t).drain() }

// cut separates one zone from the others, or splits the fleet at random.
func (p *faultPlan) cut(t *rapid.T) {
	zone := p.node(t).zone
	ragged := rapid.IntRange(0, 3).Draw(t, "ragged") == 0
	for _, n := range p.nodes {
		side := 0
		if n.zone == zone {
			side = 1
		}
		if ragged {
			side = rapid.IntRange(0, 1).Draw(t, "side")
		}
		n.partitionSide = side
	}
	p.linksChanged()
}

func (p *faultPlan) heal(*rapid.T) {
	for _, n := range p.nodes {
		n.partitionSide = 0
	}
	p.linksChanged()
}

// linksChanged records a change of links.
func (f *fleet) linksChanged() {
	f.topologyChanges++
	f.linksChangedAt = time.Now()
}

func (p *faultPlan) degrade(t *rapid.T) {
	p.faults = linkFaults{
		loss:      float64(rapid.IntRange(0, 3).Draw(t, "loss")) / 10,
		duplicate: float64(rapid.IntRange(0, 3).Draw(t, "twice")) / 10,
		reorder:   float64(rapid.IntRange(0, 3).Draw(t, "crossed")) / 10,
		delay:     time.Duration(rapid.SampledFrom([]int{1, 20, 150}).Draw(t, "delay")) * time.Millisecond,
	}
	p.linksChanged()
}

// staleList makes the machine list empty or stale: terminated machines replace some
// of the live ones.
func (p *faultPlan) staleList(t *rapid.T) {
	machines := p.completeList()
	if rapid.Bool().Draw(t, "empty") {
		machines = nil
	}
	for index := range machines {
		if rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
			name := fmt.Sprintf("gone-%d", index)
			machines[index] = membership.ListedMachine{Name: name, Zone: machines[index].Zone, Peer: name + ":7000"}
		}
	}
	p.machineList, p.listComplete = func() []membership.ListedMachine { return machines }, false
}

// advance runs the simulation for a random time.
func (p *faultPlan) advance(t *rapid.T) {
	p.run(time.Duration(rapid.SampledFrom([]int{20, 200, 1000, 2500, 5000}).Draw(t, "milliseconds")) * time.Millisecond)
}

// endFaults ends all faults except that dead nodes stay dead and the source is down.
func (p *faultPlan) endFaults() {
	p.faults = linkFaults{}
	p.machineList, p.listComplete = p.completeList, true
	for _, n := range p.nodes {
		n.partitionSide, n.source, n.secretLate = 0, nil, false
		n.resume()
	}
	p.linksChanged()
}

// newestActive returns the newest active version of all live nodes.
func (f *fleet) newestActive() version.Version {
	var newest version.Version
	for _, running := range f.live() {
		newest = version.Max(newest, running.version)
	}
	return newest
}

// convergedFrom reports whether all live nodes serve one version that is not older
// than the minimum.
func (f *fleet) convergedFrom(minVersion version.Version) bool {
	live := f.live()
	return !minVersion.After(live[0].version) && f.converged(live[0].version)
}

// newestValid returns the newest declarations that pass validation, nil if there are
// none.
func (p *faultPlan) newestValid() *declarationSet {
	var newest *declarationSet
	for _, e := range p.written {
		if e.valid && (newest == nil || e.complete.Version().After(newest.complete.Version())) {
			newest = e
		}
	}
	return newest
}

// checkConvergence requires the live nodes to converge: first without a source, on a
// version not older than the newest active one, then with it on the newest version.
func (p *faultPlan) checkConvergence(t *rapid.T) {
	p.endFaults()
	minVersion := p.newestActive()
	if len(p.live()) > 1 && !minVersion.IsZero() {
		took, done := p.runUntil(convergenceBound, func() bool { return p.convergedFrom(minVersion) })
		must.True(t, done, must.Func(func() string {
			return fmt.Sprintf("not converged without source, minimum %s\n%s", minVersion, p.describe())
		}))
		maxConvergence.withoutSource = max(maxConvergence.withoutSource, took)
		p.run(5 * time.Second)
		must.True(t, p.convergedFrom(minVersion), must.Func(p.describe))
	}
	if len(p.live()) == 0 {
		p.nodes[0].start(0)
	}
	if p.newestValid() == nil {
		p.revision++
		p.written = append(p.written, p.declare(p.epoch, p.revision, "", true))
	}
	newest := p.newestValid()
	p.publish(newest, p.nodes...)
	took, done := p.runUntil(convergenceBound, func() bool { return p.converged(newest.complete.Version()) })
	must.True(t, done, must.Func(func() string {
		return fmt.Sprintf("not converged with source, newest %s\n%s", newest.complete.Version(), p.describe())
	}))
	maxConvergence.withSource = max(maxConvergence.withSource, took)
	p.checkReaders()
	took, done = p.runUntil(convergenceBound, p.endpointsConverged)
	must.True(t, done, must.Func(p.describe))
	maxConvergence.endpoints = max(maxConvergence.endpoints, took)
}

// endpointsConverged reports whether the routes of each live node contain exactly
// the ready workers as endpoints.
func (f *fleet) endpointsConverged() bool {
	ready := 0
	for _, running := range f.live() {
		if running.node.worker != "" && running.node.drainedAt == nil {
			ready++
		}
	}
	for _, running := range f.live() {
		view, _ := running.holder.Current(running.clock())
		endpoints := endpointsOf(view)
		unexpected := slices.ContainsFunc(endpoints, func(e snapshot.Endpoint) bool {
			return !slices.ContainsFunc(f.live(), func(other *process) bool {
				return other.node.name == e.Node && other.node.drainedAt == nil
			})
		})
		if unexpected || len(endpoints) != ready {
			return false
		}
	}
	return true
}

// convergenceBound is the maximum time, after the last fault, until all live nodes
// are ready with one version.
const convergenceBound = 30 * time.Second

// maxConvergence holds the maximum measured times until convergence.
var maxConvergence struct{ withoutSource, withSource, endpoints time.Duration }

// checkReaders requires that within convergenceBound no zone has more than
// readersPerZone readers.
func (f *fleet) checkReaders() {
	_, done := f.runUntil(convergenceBound, func() bool { return f.maxReaders() <= readersPerZone })
	must.True(f.t, done, must.Func(f.describe))
}

// readersPerZone is the default of distribution.
const readersPerZone = 2

// maxReaders returns the number of readers in the zone with the most readers.
func (f *fleet) maxReaders() int {
	maximum, zones := 0, make(map[string]int)
	for _, running := range f.live() {
		if running.reader {
			zones[running.node.zone]++
			maximum = max(maximum, zones[running.node.zone])
		}
	}
	return maximum
}

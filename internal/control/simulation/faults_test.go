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

// faultPlan draws faults and changes of the declarations.
type faultPlan struct {
	*fleet
	epoch, revision uint64
	written         []*edition
}

func (p *faultPlan) node(t *rapid.T) *node {
	return p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(t, "node")]
}

// show publishes an edition through all of the source's replicas or some.
func (p *faultPlan) show(t *rapid.T, e *edition) {
	p.written = append(p.written, e)
	nodes := p.nodes
	if !rapid.Bool().Draw(t, "everywhere") {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(*node) bool { return rapid.Bool().Draw(t, "hidden") })
	}
	p.publish(e, nodes...)
}

func (p *faultPlan) change(t *rapid.T) {
	p.revision++
	p.show(t, p.write(p.epoch, p.revision, "", rapid.IntRange(0, 4).Draw(t, "bad") != 0))
}

// race has two operators publish one after the other, seen in either order.
func (p *faultPlan) race(t *rapid.T) {
	p.change(t)
	p.change(t)
	if rapid.Bool().Draw(t, "crossed") {
		p.show(t, p.written[len(p.written)-2])
	}
}

func (p *faultPlan) equivocate(t *rapid.T) {
	p.revision = max(p.revision, 1)
	p.show(t, p.write(p.epoch, p.revision, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "variant"), true))
}

// restore brings back an old copy of the source, under a new epoch.
func (p *faultPlan) restore(t *rapid.T) {
	p.epoch++
	p.revision = max(p.revision/2, 1)
	p.show(t, p.write(p.epoch, p.revision, "", true))
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

// secretLate keeps the secret's value from some readers, or brings it.
func (p *faultPlan) secretLate(t *rapid.T) {
	for _, n := range p.nodes {
		n.late = rapid.Bool().Draw(t, "late")
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

// joinAll restarts the dead at once.
func (p *faultPlan) joinAll(*rapid.T) {
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

// cut splits the fleet by zones or at random.
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
		n.side = side
	}
	p.linksChanged()
}

func (p *faultPlan) heal(*rapid.T) {
	for _, n := range p.nodes {
		n.side = 0
	}
	p.linksChanged()
}

// linksChanged notes that the reach of nodes changed.
func (f *fleet) linksChanged() {
	f.changes++
	f.healed = time.Now()
}

func (p *faultPlan) degrade(t *rapid.T) {
	p.faults = linkFaults{
		loss:    float64(rapid.IntRange(0, 3).Draw(t, "loss")) / 10,
		twice:   float64(rapid.IntRange(0, 3).Draw(t, "twice")) / 10,
		crossed: float64(rapid.IntRange(0, 3).Draw(t, "crossed")) / 10,
		delay:   time.Duration(rapid.SampledFrom([]int{1, 20, 150}).Draw(t, "delay")) * time.Millisecond,
	}
	p.linksChanged()
}

// relist makes the machine list empty, or old: it names dead machines and lacks
// some that live.
func (p *faultPlan) relist(t *rapid.T) {
	machines := p.trueList()
	if rapid.Bool().Draw(t, "empty") {
		machines = nil
	}
	for index := range machines {
		if rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
			name := fmt.Sprintf("gone-%d", index)
			machines[index] = membership.ListedMachine{Name: name, Zone: machines[index].Zone, Peer: name + ":7000"}
		}
	}
	p.listed, p.listsAll = func() []membership.ListedMachine { return machines }, false
}

func (p *faultPlan) pass(t *rapid.T) {
	p.run(time.Duration(rapid.SampledFrom([]int{20, 200, 1000, 2500, 5000}).Draw(t, "milliseconds")) * time.Millisecond)
}

// quiet ends all faults but keeps the dead dead and the source away.
func (p *faultPlan) quiet() {
	p.faults = linkFaults{}
	p.listed, p.listsAll = p.trueList, true
	for _, n := range p.nodes {
		n.side, n.source, n.late = 0, nil, false
		n.resume()
	}
	p.linksChanged()
}

// newestInForce returns the newest version in force at any live node.
func (f *fleet) newestInForce() version.Version {
	var newest version.Version
	for _, running := range f.live() {
		newest = version.Max(newest, running.version)
	}
	return newest
}

// agreeFrom reports whether all live nodes serve one version not before a floor.
func (f *fleet) agreeFrom(floor version.Version) bool {
	live := f.live()
	return !floor.After(live[0].version) && f.agreed(live[0].version)
}

// newestSound returns the newest edition that the validator takes.
func (p *faultPlan) newestSound() *edition {
	var newest *edition
	for _, e := range p.written {
		if e.sound && (newest == nil || e.whole.Version().After(newest.whole.Version())) {
			newest = e
		}
	}
	return newest
}

// checkAgreement requires the live nodes to agree: first without a source on no
// less than what was in force at any of them, then with it on the newest version.
func (p *faultPlan) checkAgreement(t *rapid.T) {
	p.quiet()
	floor := p.newestInForce()
	if len(p.live()) > 1 && !floor.IsZero() {
		took, done := p.until(agreementBound, func() bool { return p.agreeFrom(floor) })
		must.True(t, done, must.Func(func() string { return fmt.Sprintf("without source, floor %s\n%s", floor, p.describe()) }))
		longest.without = max(longest.without, took)
		p.run(5 * time.Second)
		must.True(t, p.agreeFrom(floor), must.Func(p.describe))
	}
	if len(p.live()) == 0 {
		p.nodes[0].start(0)
	}
	if p.newestSound() == nil {
		p.revision++
		p.written = append(p.written, p.write(p.epoch, p.revision, "", true))
	}
	newest := p.newestSound()
	p.publish(newest, p.nodes...)
	took, done := p.until(agreementBound, func() bool { return p.agreed(newest.whole.Version()) })
	must.True(t, done, must.Func(func() string { return fmt.Sprintf("with source, newest %s\n%s", newest.whole.Version(), p.describe()) }))
	longest.with = max(longest.with, took)
	p.checkReaders()
	took, done = p.until(agreementBound, p.endpointsAgree)
	must.True(t, done, must.Func(p.describe))
	longest.endpoints = max(longest.endpoints, took)
}

// endpointsAgree reports whether each live node's routes reach just the workers
// that are ready.
func (f *fleet) endpointsAgree() bool {
	ready := 0
	for _, running := range f.live() {
		if running.node.worker != "" && running.node.drained == nil {
			ready++
		}
	}
	for _, running := range f.live() {
		view, _ := running.holder.Current(running.clock())
		endpoints := endpointsOf(view)
		gone := slices.ContainsFunc(endpoints, func(e snapshot.Endpoint) bool {
			return !slices.ContainsFunc(f.live(), func(other *process) bool {
				return other.node.name == e.Node && other.node.drained == nil
			})
		})
		if gone || len(endpoints) != ready {
			return false
		}
	}
	return true
}

// agreementBound is the longest time, after the last fault, until all live
// nodes are ready with one version.
const agreementBound = 30 * time.Second

// longest are the longest times seen until agreement.
var longest struct{ without, with, endpoints time.Duration }

// checkReaders requires that soon no zone has more readers than it should.
func (f *fleet) checkReaders() {
	_, done := f.until(agreementBound, func() bool { return f.mostReaders() <= readersPerZone })
	must.True(f.t, done, must.Func(f.describe))
}

// readersPerZone is distribution's default.
const readersPerZone = 2

// mostReaders returns the number of readers in the zone that has most.
func (f *fleet) mostReaders() int {
	most, zones := 0, make(map[string]int)
	for _, running := range f.live() {
		if running.reader {
			zones[running.node.zone]++
			most = max(most, zones[running.node.zone])
		}
	}
	return most
}

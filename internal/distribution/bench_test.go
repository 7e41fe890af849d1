package distribution

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// The benchmarked network: two regions with five zones in total.
const (
	betweenRegions = 3 * time.Millisecond
	benchZones     = 5
	benchChanges   = 20
)

func regionOf(zone string) int {
	if zone < "zone-3" {
		return 0
	}
	return 1
}

func (f *fleet) targetDelay(from, to *simNode) time.Duration {
	if from.member.Zone == to.member.Zone {
		return 250 * time.Microsecond
	}
	if regionOf(from.member.Zone) != regionOf(to.member.Zone) {
		return betweenRegions
	}
	return 500*time.Microsecond + time.Duration(f.random.Intn(1000))*time.Microsecond
}

// traffic counts the stream messages and their encoded bytes.
type traffic struct {
	bytes    int
	messages map[string]int // sent, by node
	encoded  map[any]int    // length of a push, which its receivers share
}

func (c *traffic) count(from, _ *simNode, message wire.Envelope) {
	c.messages[from.member.Name]++
	if message.Push == nil {
		c.bytes += jsonLength(message)
		return
	}
	length, known := c.encoded[message.Push]
	if !known {
		length = jsonLength(message)
		c.encoded[message.Push] = length
	}
	c.bytes += length
}

func jsonLength(message wire.Envelope) int {
	line, _ := json.Marshal(message)
	return len(line) + 1
}

// BenchmarkFleet changes the labels of one worker, in a set with as many
// workers as nodes. The convergence times are virtual and leave out encoding
// and sockets.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{24, 100, 400, 850} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				benchmarkChanges(b, nodes)
			}
		})
	}
}

func benchmarkChanges(b *testing.B, nodes int) {
	f := newFleet(b, 1, nodes, benchZones)
	f.delay = f.targetDelay
	f.startAll()
	f.publish(edition{revision: 1, workers: nodes}.set(b))
	must.True(b, f.runUntil(f.now.Add(20*time.Second), func() bool { return f.agreeOnFirst() }))
	f.run(time.Second)

	var times []time.Duration
	var busy, idling time.Duration
	cost := &traffic{messages: map[string]int{}, encoded: map[any]int{}}
	f.onDeliver = cost.count
	for change := range benchChanges {
		idle := f.cpu()
		f.run(time.Second)
		idle = f.cpu() - idle
		idling += idle
		began, before := f.now, f.cpu()
		next := edition{revision: uint64(change + 2), workers: nodes}.set(b)
		f.onActive = func(_ *simNode, v version.Version) { times = append(times, f.now.Sub(began)) }
		f.step(f.nodeByName[f.nodes[0].machine.view.leader()], SourceRead{Set: next})
		f.run(time.Second)
		busy += f.cpu() - before - idle
		must.True(b, f.agreeOnFirst())
	}
	slices.Sort(times)
	most, root := 0, f.nodes[0].machine.view.leader()
	for _, sent := range cost.messages {
		most = max(most, sent)
	}
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
	b.ReportMetric(float64(cost.bytes)/float64(nodes*benchChanges), "bytes/node/change")
	b.ReportMetric(float64(cost.messages[root])/benchChanges, "root-messages/change")
	b.ReportMetric(float64(most)/benchChanges, "most-messages/change")
	b.ReportMetric(float64(idling.Nanoseconds())/float64(nodes*benchChanges), "idle-ns/node/s")
	b.ReportMetric(float64(busy.Nanoseconds())/float64(nodes*benchChanges), "cpu-ns/node/change")
}

// BenchmarkMembersChange removes or restores one member and derives the duties,
// and in "tree" also this node's children as before a push.
func BenchmarkMembersChange(b *testing.B) {
	b.Run("duties", func(b *testing.B) { benchmarkMembersChange(b, func(*view) {}) })
	b.Run("tree", func(b *testing.B) { benchmarkMembersChange(b, func(v *view) { v.childrenFor(v.leader()) }) })
}

func benchmarkMembersChange(b *testing.B, then func(*view)) {
	members := membersIn(850, benchZones)
	fewer := slices.Delete(slices.Clone(members), 400, 401)
	machine := newSingleMachine(time.Unix(1, 0))
	next, other := fewer, members
	for b.Loop() {
		machine.Step(Members{Live: next}, machine.now)
		then(machine.view)
		next, other = other, next
	}
}

// cpu returns the wall time spent in the steps of all nodes.
func (f *fleet) cpu() time.Duration {
	var total time.Duration
	for _, node := range f.nodes {
		total += node.cpu
	}
	return total
}

func (f *fleet) agreeOnFirst() bool {
	return f.nodes[0].fresh && f.agree(f.nodes[0].active)
}

// BenchmarkStart measures the virtual time until a restarted node is fresh, and
// until a fleet that starts at once agrees on a version.
func BenchmarkStart(b *testing.B) {
	const nodes, restarts = 100, 50
	for b.Loop() {
		f := newFleet(b, 1, nodes, benchZones)
		f.delay = f.targetDelay
		began := f.now
		f.startAll()
		f.publish(edition{revision: 1, workers: nodes}.set(b))
		must.True(b, f.runUntil(f.now.Add(20*time.Second), f.agreeOnFirst))
		b.ReportMetric(f.now.Sub(began).Seconds()*1000, "fleet-ms")
		f.run(time.Second)
		var times []time.Duration
		for _, node := range f.nodes[:restarts] {
			f.start(node)
			f.updateMembers(0)
			began = f.now
			must.True(b, f.runUntil(f.now.Add(20*time.Second), func() bool { return node.fresh }))
			times = append(times, f.now.Sub(began))
		}
		slices.Sort(times)
		b.ReportMetric(float64(times[restarts/2].Microseconds())/1000, "restart-p50-ms")
		b.ReportMetric(float64(times[restarts-1].Microseconds())/1000, "restart-max-ms")
	}
}

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleet simulates the state machines of a mesh in virtual time. Messages are delayed, lost and
// reordered.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	names     []string
	machines  map[string]*Machine
	partition map[string]int  // nodes reach only nodes in the same partition
	suspended map[string]bool // messages to the node are delayed while its clock continues
	loss      float64
	queue     []delivery
	messages  int
	records   int
}

type delivery struct {
	at      time.Time
	to      string
	message Message
}

// Time step and network bounds of the fleet.
const (
	fleetTick        = 10 * time.Millisecond
	nodeTickInterval = 100 * time.Millisecond // time between two ticks of a node
	fleetMaxDelay    = 60 * time.Millisecond  // one-way delay of a message
)

func newFleet(seed uint64, size int, loss float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), now: startTime, machines: map[string]*Machine{}, partition: map[string]int{}, suspended: map[string]bool{}, loss: loss}
	for index := range size {
		f.names = append(f.names, fmt.Sprintf("10.0.%d.%d", index/250, index%250))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a node that has its peers but no records.
func (f *fleet) start(name string) {
	f.machines[name] = New(Config{Self: name, Random: rand.NewPCG(f.random.Uint64(), 0)}, f.now)
	f.step(name, Peers{Addresses: f.names})
}

func (f *fleet) step(name string, event Event) {
	for _, effect := range f.machines[name].Step(event, f.now) {
		sent, ok := effect.(Send)
		if !ok {
			continue
		}
		for _, to := range sent.To {
			f.messages++
			f.records += len(sent.Message.Records)
			if f.random.Float64() < f.loss || f.partition[name] != f.partition[to] {
				continue
			}
			late := time.Duration(f.random.Int64N(int64(fleetMaxDelay)))
			f.queue = append(f.queue, delivery{at: f.now.Add(late), to: to, message: sent.Message})
		}
	}
}

// advance runs the fleet until a condition holds, for a limited virtual time, and returns the
// elapsed time.
func (f *fleet) advance(limit time.Duration, until func() bool) (time.Duration, bool) {
	from := f.now
	for f.now.Sub(from) < limit {
		if until != nil && until() {
			return f.now.Sub(from), true
		}
		f.now = f.now.Add(fleetTick)
		due := f.queue
		f.queue = nil
		for _, each := range due {
			if each.at.After(f.now) || f.suspended[each.to] {
				f.queue = append(f.queue, each)
				continue
			}
			f.step(each.to, MessageReceived{each.message})
		}
		for index, name := range f.names {
			local := f.now.Add(time.Duration(index) * fleetTick) // nodes don't tick at the same time
			if !f.suspended[name] && local.Sub(startTime)%nodeTickInterval == 0 {
				f.step(name, Tick{})
			}
		}
	}
	return f.now.Sub(from), until != nil && until()
}

// holdingNodes returns the number of nodes that hold a request.
func (f *fleet) holdingNodes(request Fingerprint) int {
	count := 0
	for _, each := range f.machines {
		if each.Verdict(request, f.now).State == Held {
			count++
		}
	}
	return count
}

// contactTime is how long nodes must have been in contact before the bound on further sends of
// a request applies to them.
const contactTime = 3 * time.Second

// After three workers crash at once on three nodes, each of which knows of one crash, all nodes
// must hold the request within contactTime: new records are sent on to fanOut nodes, and nodes
// query each other for the rest.
func TestRecordsReachAllNodes(t *testing.T) {
	for size, seeds := range map[int]uint64{2: 10, 12: 10, 83: 4, 400: 1, 850: 1} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			t.Run(fmt.Sprint(size, " nodes, loss ", loss), func(t *testing.T) {
				var worst time.Duration
				for seed := range seeds {
					f := newFleet(seed, size, loss)
					f.advance(time.Second, nil)
					messagesBefore := f.messages
					f.advance(5*time.Second, nil)
					must.Eq(t, messagesBefore, f.messages, must.Sprint("nodes without records must not send messages"))
					for index := range 3 {
						f.step(f.names[index%size], crashUnder(fmt.Sprint("i-", index), requestNumber(1)))
					}
					took, all := f.advance(contactTime, func() bool { return f.holdingNodes(requestNumber(1)) == size })
					must.True(t, all, must.Sprint("seed ", seed))
					worst = max(worst, took)
				}
				t.Logf("held on all nodes after %s at worst", worst)
			})
		}
	}
}

// Two partitioned halves, with two crashes in one and one in the other, hold the request in
// neither half. After the partition ends, all nodes must hold it within contactTime.
func TestPartitionedHalvesMergeRecords(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 12, 0.05)
		f.advance(time.Second, nil)
		for _, name := range f.names[6:] {
			f.partition[name] = 1
		}
		f.step(f.names[0], crashUnder("i-0", requestNumber(1)))
		f.step(f.names[1], crashUnder("i-1", requestNumber(1)))
		f.step(f.names[7], crashUnder("i-7", requestNumber(1)))
		f.advance(10*time.Second, nil)
		must.Eq(t, 0, f.holdingNodes(requestNumber(1)))
		clear(f.partition)
		_, all := f.advance(contactTime, func() bool { return f.holdingNodes(requestNumber(1)) == 12 })
		must.True(t, all, must.Sprint("seed ", seed))
	}
}

// Within contactTime, a restarted node, a node that was suspended and a node that was cut off
// must have the records of the others.
func TestRestartedAndSuspendedNodesCatchUp(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 12, 0.05)
		f.advance(time.Second, nil)
		suspended, cut := f.names[3], f.names[4]
		f.suspended[suspended] = true
		f.partition[cut] = 1
		for index := range 3 {
			f.step(f.names[index], crashUnder(fmt.Sprint("i-", index), requestNumber(1)))
		}
		f.advance(8*time.Second, nil)
		f.start(f.names[5])
		f.suspended[suspended] = false
		clear(f.partition)
		_, all := f.advance(contactTime, func() bool { return f.holdingNodes(requestNumber(1)) == 12 })
		must.True(t, all, must.Sprint("seed ", seed))
	}
}

// All nodes must converge on a release, although some receive it before the crash records and
// some after.
func TestReleaseReachesAllNodes(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 12, 0.2)
		f.advance(time.Second, nil)
		for index := range 3 {
			f.step(f.names[index], crashUnder(fmt.Sprint("i-", index), requestNumber(1)))
		}
		f.advance(30*time.Millisecond, nil)
		f.step(f.names[2], Answered{Fingerprint: requestNumber(1), Instance: "i-9"})
		_, same := f.advance(3*contactTime, func() bool {
			sums := map[uint64]bool{}
			for _, each := range f.machines {
				sums[each.ledger.sum] = true
			}
			return len(sums) == 1 && f.holdingNodes(requestNumber(1)) == 0
		})
		must.True(t, same, must.Sprint("seed ", seed))
	}
}

// The message rate must stay bounded while workers crash continuously, each under thirteen
// requests of its own.
func TestMessageRateIsBounded(t *testing.T) {
	const size, seconds, requests = 83, 3, 13
	f := newFleet(1, size, 0.03)
	f.advance(time.Second, nil)
	before, recordsBefore := f.messages, f.records
	number := 0
	for second := range seconds {
		for index := range size / 3 { // each worker is down for three seconds
			var ran []Fingerprint
			for range requests {
				number++
				ran = append(ran, requestNumber(number))
			}
			name := f.names[(second*size/3+index)%size]
			f.step(name, crashUnder(fmt.Sprint("i-", second, "-", index), ran...))
		}
		f.advance(time.Second, nil)
	}
	messages := float64(f.messages-before) / size / seconds
	records := float64(f.records-recordsBefore) / size / seconds
	t.Logf("%.1f messages with %.0f records per node and second", messages, records)
	sent := fanOut * (float64(time.Second)/float64(sendInterval) + sendBurst/seconds)
	queried := float64(time.Second) / float64(fastQueryInterval) * (1 + 2*maxReplyDatagrams + 1)
	must.LessEq(t, sent+queried, messages)
}

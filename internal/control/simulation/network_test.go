package simulation

import (
	"hash/fnv"
	"strings"
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// linkFaults are the faults of the network, as probabilities from 0 to 1, and the
// upper bound of the additional delay.
type linkFaults struct {
	loss      float64 // of a datagram
	duplicate float64 // that a datagram is delivered twice
	reorder   float64 // that a stream message overtakes earlier ones, as on a new stream
	delay     time.Duration
}

const minDelay = 500 * time.Microsecond

// sender is the transport of a process.
type sender struct{ process *process }

func (s sender) SendDatagram(address string, envelope wire.Envelope) {
	line, err := wire.Encode(envelope)
	if err != nil {
		s.process.node.fleet.recordViolation("%s sends a message that can't be encoded: %v", s.process.node.name, err)
		return
	}
	if len(line) > wire.MaxDatagramBytes {
		s.process.node.fleet.recordViolation("%s sends a datagram of %d bytes", s.process.node.name, len(line))
	}
	s.process.node.fleet.send(s.process, address, line, true)
}

func (s sender) SendEncoded(address string, line []byte) {
	s.process.node.fleet.send(s.process, address, line, false)
}

// claims forwards a loop's calls to the claim keeper. The oracle checks each new view
// in Configure, which the loop calls whenever it has published one.
type claims struct{ process *process }

func (c claims) Deliver(message wire.Envelope) { c.process.keeper.Deliver(message) }

func (c claims) Configure(configuration claim.Configure) {
	f := c.process.node.fleet
	f.ordered(func() { f.checkView(c.process) })()
	c.process.keeper.Configure(configuration)
}

// send delivers an encoded message after the network delay, or loses it.
func (f *fleet) send(from *process, address string, line []byte, datagram bool) {
	name, _, _ := strings.Cut(address, ":")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from.dead {
		return
	}
	class := classControl
	if strings.Contains(string(line[:min(len(line), 64)]), `"claim`) {
		class = classClaim
	}
	random := f.random[class]
	copies := 1
	if datagram && random.Float64() < f.faults.duplicate {
		copies = 2
	}
	sent := time.Now()
	for range copies {
		if datagram && random.Float64() < f.faults.loss {
			continue
		}
		wait := minDelay + time.Duration(random.Int64N(int64(f.faults.delay)+int64(time.Millisecond)))
		if !datagram && random.Float64() >= f.faults.reorder {
			link := [2]string{from.node.name, name}
			wait = max(wait, f.lastDelivery[link]-time.Since(f.startedAt))
			f.lastDelivery[link] = time.Since(f.startedAt) + wait
		}
		time.AfterFunc(f.reserveInstant(class, wait), f.ordered(func() { f.deliver(from, name, line, datagram, sent) }))
	}
}

// deliver passes an encoded message to the process that runs at the address on
// arrival. It is lost if there is none or a cut separates the nodes.
func (f *fleet) deliver(from *process, name string, line []byte, datagram bool, sent time.Time) {
	var to *process
	for _, n := range f.nodes {
		if n.name == name {
			to = n.process
		}
	}
	if to == nil || to.node.partitionSide != from.node.partitionSide {
		return
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		f.recordViolation("%s can't decode a message from %s: %v", name, from.node.name, err)
		return
	}
	f.traceDelivery(line, name)
	to.runOrBuffer(func() {
		to.recordArrival(sent)
		to.loop.Deliver(transport.Received{Envelope: envelope, Remote: from.node.address(), Bytes: len(line), Datagram: datagram})
	})
}

// traceDelivery adds a delivery to the trace.
func (f *fleet) traceDelivery(line []byte, to string) {
	hash := fnv.New64a()
	_, _ = hash.Write(line)
	_, _ = hash.Write([]byte(to))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.trace = f.trace*31 + hash.Sum64() + uint64(time.Since(f.startedAt))
	f.counts["delivered"]++
}

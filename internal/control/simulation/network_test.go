package simulation

import (
	"hash/fnv"
	"strings"
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// linkFaults are the faults of the network. Shares are of 1.
type linkFaults struct {
	loss    float64 // of datagrams
	twice   float64 // of datagrams delivered a second time
	crossed float64 // of stream messages that overtake, as over a new stream
	delay   time.Duration
}

const leastDelay = 500 * time.Microsecond

// sender is a process's transport.
type sender struct{ process *process }

func (s sender) SendDatagram(address string, envelope wire.Envelope) {
	line, err := wire.Encode(envelope)
	if err != nil {
		s.process.node.fleet.fail("%s sends what can't be encoded: %v", s.process.node.name, err)
		return
	}
	if len(line) > wire.MaxDatagramBytes {
		s.process.node.fleet.fail("%s sends a datagram of %d bytes", s.process.node.name, len(line))
	}
	s.process.node.fleet.send(s.process, address, line, true)
}

func (s sender) SendEncoded(address string, line []byte) {
	s.process.node.fleet.send(s.process, address, line, false)
}

// claims passes a loop's calls on to the keeper, and shows each new view to the
// oracle: the loop configures claims whenever it has published one.
type claims struct{ process *process }

func (c claims) Deliver(message wire.Envelope) { c.process.keeper.Deliver(message) }

func (c claims) Configure(configuration claim.Configure) {
	f := c.process.node.fleet
	f.ordered(func() { f.checkView(c.process) })()
	c.process.keeper.Configure(configuration)
}

// send delivers a line after the network's delay, or loses it.
func (f *fleet) send(from *process, address string, line []byte, datagram bool) {
	name, _, _ := strings.Cut(address, ":")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from.dead {
		return
	}
	of := classControl
	if strings.Contains(string(line[:min(len(line), 64)]), `"claim`) {
		of = classClaim
	}
	random := f.random[of]
	copies := 1
	if datagram && random.Float64() < f.faults.twice {
		copies = 2
	}
	sent := time.Now()
	for range copies {
		if datagram && random.Float64() < f.faults.loss {
			continue
		}
		wait := leastDelay + time.Duration(random.Int64N(int64(f.faults.delay)+int64(time.Millisecond)))
		if !datagram && random.Float64() >= f.faults.crossed {
			link := [2]string{from.node.name, name}
			wait = max(wait, f.lastOn[link]-time.Since(f.began))
			f.lastOn[link] = time.Since(f.began) + wait
		}
		time.AfterFunc(f.moment(of, wait), f.ordered(func() { f.deliver(from, name, line, datagram, sent) }))
	}
}

// deliver hands a line to whoever runs at the address by now.
func (f *fleet) deliver(from *process, name string, line []byte, datagram bool, sent time.Time) {
	var to *process
	for _, n := range f.nodes {
		if n.name == name {
			to = n.process
		}
	}
	if to == nil || to.node.side != from.node.side {
		return
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		f.fail("%s can't decode what %s sent: %v", name, from.node.name, err)
		return
	}
	f.note(line, name)
	to.reach(func() {
		to.heard(sent)
		to.loop.Deliver(transport.Received{Envelope: envelope, Remote: from.node.address(), Bytes: len(line), Datagram: datagram})
	})
}

// note adds a delivery to the trace.
func (f *fleet) note(line []byte, to string) {
	hash := fnv.New64a()
	_, _ = hash.Write(line)
	_, _ = hash.Write([]byte(to))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.trace = f.trace*31 + hash.Sum64() + uint64(time.Since(f.began))
	f.counts["delivered"]++
}

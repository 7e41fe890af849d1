// Package link stands in for the network between zones. It listens at the
// addresses that nodes advertise and forwards streams and datagrams to their
// real addresses, with a delay by pair of zones, loss of datagrams, and cuts.
// The zone of a sender is known by its source IP address.
package link

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sliphead/internal/fault"
)

// Pair is an ordered pair of zones.
type Pair struct {
	From string
	To   string
}

// Conditions tell how a pair of zones is joined.
type Conditions struct {
	Delay time.Duration // one way
	Loss  float64       // share of datagrams lost, 0 to 1
	Cut   bool          // nothing passes; streams stall until healed
}

// Counts are what the links carried.
type Counts struct {
	StreamBytes   int64
	Streams       int64
	Datagrams     int64
	DatagramBytes int64
	Lost          int64 // datagrams lost or cut
}

// Network holds all links.
type Network struct {
	zoneOf     func(netip.Addr) string
	mutex      sync.Mutex
	conditions map[Pair]Conditions
	standard   Conditions
	changed    chan struct{} // closed and replaced on each change of conditions
	closers    []func()
	connected  map[*stream]struct{}
	closed     bool
	counters   counters
	random     *lockedRandom
}

type counters struct {
	streamBytes, streams, datagrams, datagramBytes, lost atomic.Int64
}

// New returns a network. zoneOf gives the zone of a sender's address; standard
// holds between zones for which nothing else is set. The seed decides which
// datagrams are lost.
func New(zoneOf func(netip.Addr) string, standard Conditions, seed uint64) *Network {
	return &Network{
		zoneOf:     zoneOf,
		conditions: map[Pair]Conditions{},
		standard:   standard,
		changed:    make(chan struct{}),
		connected:  map[*stream]struct{}{},
		random:     newLockedRandom(seed),
	}
}

// Set sets the conditions of an ordered pair of zones.
func (n *Network) Set(pair Pair, conditions Conditions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conditions[pair] = conditions
	n.announce()
}

// Cut stops or resumes all traffic between two zones, both ways.
func (n *Network) Cut(zone, other string, cut bool) {
	n.update(zone, other, func(conditions *Conditions) { conditions.Cut = cut })
}

// SetLoss sets the share of datagrams lost between two zones, both ways.
func (n *Network) SetLoss(zone, other string, loss float64) {
	n.update(zone, other, func(conditions *Conditions) { conditions.Loss = loss })
}

func (n *Network) update(zone, other string, edit func(*Conditions)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, pair := range []Pair{{From: zone, To: other}, {From: other, To: zone}} {
		conditions := n.of(pair)
		edit(&conditions)
		n.conditions[pair] = conditions
	}
	n.announce()
}

// Of returns the conditions of an ordered pair.
func (n *Network) Of(pair Pair) Conditions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.of(pair)
}

func (n *Network) of(pair Pair) Conditions {
	conditions, found := n.conditions[pair]
	if !found {
		return n.standard
	}
	return conditions
}

// watch returns the conditions of a pair and a channel closed on any change.
func (n *Network) watch(pair Pair) (Conditions, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.of(pair), n.changed
}

func (n *Network) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset breaks the streams that are open now to or from a zone, with a reset to
// both ends.
func (n *Network) Reset(zone string) {
	n.mutex.Lock()
	var broken []*stream
	for each := range n.connected {
		if each.pair.From == zone || each.pair.To == zone {
			broken = append(broken, each)
		}
	}
	n.mutex.Unlock()
	for _, each := range broken {
		each.reset()
	}
}

// Counts returns what was carried so far.
func (n *Network) Counts() Counts {
	return Counts{
		StreamBytes:   n.counters.streamBytes.Load(),
		Streams:       n.counters.streams.Load(),
		Datagrams:     n.counters.datagrams.Load(),
		DatagramBytes: n.counters.datagramBytes.Load(),
		Lost:          n.counters.lost.Load(),
	}
}

// Close ends all links and the streams on them.
func (n *Network) Close() {
	n.mutex.Lock()
	n.closed = true
	closers := n.closers
	n.closers = nil
	streams := make([]*stream, 0, len(n.connected))
	for each := range n.connected {
		streams = append(streams, each)
	}
	n.mutex.Unlock()
	for _, closer := range closers {
		closer()
	}
	for _, each := range streams {
		each.close()
	}
}

// onClose registers what Close has to end.
func (n *Network) onClose(closer func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.closers = append(n.closers, closer)
}

func listenFailed(cause error, address string) error {
	return fault.Wrap(cause, fault.Settings, "end the other lab that uses this address, or give another --octet", "link cannot listen on %s", address)
}

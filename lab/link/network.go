// Package link simulates the network between zones. It listens at the addresses
// that nodes advertise and forwards streams and datagrams to their real addresses.
// Each pair of zones has a delay, a share of lost datagrams, and can be cut. The
// source IP address of a sender determines its zone.
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

// Conditions describes the traffic from one zone to another.
type Conditions struct {
	Delay time.Duration // one way
	Loss  float64       // share of datagrams lost, 0 to 1
	Cut   bool          // nothing is delivered; streams stall until the cut ends
}

// Counts holds the totals of all links.
type Counts struct {
	StreamBytes   int64
	Streams       int64
	Datagrams     int64
	DatagramBytes int64
	Lost          int64 // datagrams dropped by loss, a cut, a full queue or a failed send
}

// Network is a set of links between zones.
type Network struct {
	zoneOf            func(netip.Addr) string
	mutex             sync.Mutex
	conditions        map[Pair]Conditions
	defaultConditions Conditions
	changed           chan struct{} // closed and replaced on each change of conditions
	closers           []func()
	streams           map[*stream]struct{}
	closed            bool
	counters          counters
	random            *lockedRandom
}

type counters struct {
	streamBytes, streams, datagrams, datagramBytes, lost atomic.Int64
}

// New returns a network. zoneOf maps the address of a sender to its zone; standard
// applies to pairs of zones for which nothing else is set. The seed determines
// which datagrams are lost.
func New(zoneOf func(netip.Addr) string, standard Conditions, seed uint64) *Network {
	return &Network{
		zoneOf:            zoneOf,
		conditions:        map[Pair]Conditions{},
		defaultConditions: standard,
		changed:           make(chan struct{}),
		streams:           map[*stream]struct{}{},
		random:            newLockedRandom(seed),
	}
}

// Set sets the conditions of an ordered pair of zones.
func (n *Network) Set(pair Pair, conditions Conditions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conditions[pair] = conditions
	n.notifyChanged()
}

// Cut stops (cut) or resumes (not cut) all traffic between two zones, in both directions.
func (n *Network) Cut(zone, other string, cut bool) {
	n.update(zone, other, func(conditions *Conditions) { conditions.Cut = cut })
}

// SetLoss sets the share of datagrams lost between two zones, 0 to 1, in both directions.
func (n *Network) SetLoss(zone, other string, loss float64) {
	n.update(zone, other, func(conditions *Conditions) { conditions.Loss = loss })
}

func (n *Network) update(zone, other string, edit func(*Conditions)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, pair := range []Pair{{From: zone, To: other}, {From: other, To: zone}} {
		conditions := n.conditionsOf(pair)
		edit(&conditions)
		n.conditions[pair] = conditions
	}
	n.notifyChanged()
}

// ConditionsOf returns the conditions of an ordered pair of zones.
func (n *Network) ConditionsOf(pair Pair) Conditions {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.conditionsOf(pair)
}

func (n *Network) conditionsOf(pair Pair) Conditions {
	conditions, found := n.conditions[pair]
	if !found {
		return n.defaultConditions
	}
	return conditions
}

// watch returns the conditions of a pair and a channel that is closed on the next
// change of any conditions.
func (n *Network) watch(pair Pair) (Conditions, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.conditionsOf(pair), n.changed
}

func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset closes all open streams to or from a zone with a TCP reset at both ends.
func (n *Network) Reset(zone string) {
	n.mutex.Lock()
	var selected []*stream
	for each := range n.streams {
		if each.pair.From == zone || each.pair.To == zone {
			selected = append(selected, each)
		}
	}
	n.mutex.Unlock()
	for _, each := range selected {
		each.reset()
	}
}

// Counts returns the totals so far.
func (n *Network) Counts() Counts {
	return Counts{
		StreamBytes:   n.counters.streamBytes.Load(),
		Streams:       n.counters.streams.Load(),
		Datagrams:     n.counters.datagrams.Load(),
		DatagramBytes: n.counters.datagramBytes.Load(),
		Lost:          n.counters.lost.Load(),
	}
}

// Close closes all links and their streams.
func (n *Network) Close() {
	n.mutex.Lock()
	n.closed = true
	closers := n.closers
	n.closers = nil
	streams := make([]*stream, 0, len(n.streams))
	for each := range n.streams {
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

// onClose registers a function that Close calls.
func (n *Network) onClose(closer func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.closers = append(n.closers, closer)
}

func listenError(cause error, address string) error {
	return fault.Wrap(cause, fault.Settings, "stop the other lab that uses this address, or give another --octet", "link cannot listen on %s", address)
}

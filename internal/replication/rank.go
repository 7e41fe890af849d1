package replication

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// peer is a node that may be followed.
type peer struct {
	address string // IP address
	zone    string
	weight  uint64 // by rendezvous hashing: the highest reads the store
	// preferred nodes come first, however low their weight.
	preferred bool
}

// rank orders the nodes that the catalog names, those of this zone first, then those of
// this region. Each node of a zone comes to the same order.
func (m *Machine) rank() {
	zones := map[string]string{m.config.Self: m.config.Zone}
	for _, instance := range m.state.Instances() {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			zones[host] = instance.Zone
			m.settled = m.settled || host == m.config.Self
		}
	}
	for address := range m.hints {
		if _, known := zones[address]; !known && m.state.Revision() == 0 {
			zones[address] = ""
		}
	}
	m.ranked = m.ranked[:0]
	for address, zone := range zones {
		m.ranked = append(m.ranked, peer{address: address, zone: zone, weight: xxhash.Sum64String(address)})
	}
	slices.SortFunc(m.ranked, m.compare)
	m.prefer()
}

func (m *Machine) compare(a, b peer) int {
	return cmp.Or(
		cmp.Compare(m.distance(a), m.distance(b)),
		m.compareZones(a, b),
		comparePreferred(a, b),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.address, b.address),
	)
}

// distance is 0 for this node's zone, 1 for others and 2 for those of other regions.
func (m *Machine) distance(of peer) int {
	switch {
	case of.zone == m.config.Zone:
		return 0
	case m.regional && m.regionOf(of.zone) != m.region:
		return 2
	default:
		return 1
	}
}

// ownRank is this node's place among the nodes of its zone, from 0.
func (m *Machine) ownRank() int {
	for index, candidate := range m.ranked {
		if candidate.address == m.config.Self {
			return index
		}
	}
	return 0
}

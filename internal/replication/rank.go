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
	place     place // of its zone
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
	places := map[string]place{}
	for address, zone := range zones {
		where, known := places[zone]
		if !known {
			where = m.placeOf(zone)
			places[zone] = where
		}
		m.ranked = append(m.ranked, peer{address: address, zone: zone, weight: xxhash.Sum64String(address), place: where})
	}
	slices.SortFunc(m.ranked, compare)
	m.prefer()
	m.above = m.rankAbove()
}

func compare(a, b peer) int {
	return cmp.Or(
		cmp.Compare(a.place.distance, b.place.distance),
		comparePlaces(a.place, b.place),
		comparePreferred(a, b),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.address, b.address),
	)
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

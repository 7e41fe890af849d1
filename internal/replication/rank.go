package replication

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// peer is a node that can be followed.
type peer struct {
	address string // IP address
	zone    string
	weight  uint64 // rendezvous hash; the node with the highest weight reads the store
	// preferred nodes rank first, whatever their weight.
	preferred bool
	order     zoneOrder // of its zone
}

// rank sorts the nodes of the catalog: those of this zone first, then those of this region, then
// the others. All nodes of a zone compute the same order.
func (m *Machine) rank() {
	zones := map[string]string{m.config.Self: m.config.Zone}
	for _, instance := range m.state.Instances() {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			zones[host] = instance.Zone
			m.workerRecorded = m.workerRecorded || host == m.config.Self
		}
	}
	for address := range m.announcedPeers {
		if _, known := zones[address]; !known && m.state.Revision() == 0 {
			zones[address] = ""
		}
	}
	m.ranked = m.ranked[:0]
	orders := map[string]zoneOrder{}
	for address, zone := range zones {
		position, known := orders[zone]
		if !known {
			position = m.orderOf(zone)
			orders[zone] = position
		}
		m.ranked = append(m.ranked, peer{address: address, zone: zone, weight: xxhash.Sum64String(address), order: position})
	}
	slices.SortFunc(m.ranked, comparePeers)
	m.markPreferred()
	m.upstreamPeers = m.rankUpstream()
}

func comparePeers(a, b peer) int {
	return cmp.Or(
		cmp.Compare(a.order.distance, b.order.distance),
		compareZones(a.order, b.order),
		comparePreferred(a, b),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.address, b.address),
	)
}

// ownRank returns this node's rank among the nodes of its zone, from 0.
func (m *Machine) ownRank() int {
	for index, candidate := range m.ranked {
		if candidate.address == m.config.Self {
			return index
		}
	}
	return 0
}

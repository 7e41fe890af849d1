package replication

import (
	"slices"
	"time"
)

// Each configuration change sends a zone's reader the whole configuration in a text encoding:
// 0.4 MB for 1600 routes, which takes 0.65 s on a link of 5 Mbit/s, with up to five changes a second.
// What nodes relay is a difference of about a kilobyte. If a zone has nodes with faster links,
// two of them come first in the zone's rank, so that one reads and the other is next in line.
//
// When workers leave, their machines leave too, and a zone may have no fast node left. Its first
// node then follows a fast node of another zone, and reads the store only if it knows of none.
//
// A node knows only the speed of its own link. A fast node reports it in an announcement to the
// node that would otherwise read; that node's updates list the two fast nodes with the highest
// weights. The set of known fast nodes only grows, so the nodes of a zone converge on the same
// order.

// maxPreferred is how many fast nodes of a zone are ranked first: one more than reads.
const maxPreferred = 2

// maxFastNodes bounds the tracked fast nodes, since machines come and go. When it is exceeded,
// the set is cleared and learned again.
const maxFastNodes = 1024

// FastLink reports whether a link of the given speed, in megabits per second, transfers the
// largest configuration in a tenth of the time within which a change has to be known. A link of
// unknown speed, 0, counts as slow.
func FastLink(megabits float64, freshness time.Duration) bool {
	const (
		largestMegabits = 8 // one megabyte, the store's limit for one item
		share           = 0.1
	)
	return megabits*share*freshness.Seconds() >= largestMegabits
}

func (m *Machine) addFastNode(address string) {
	if m.fastNodes[address] {
		return
	}
	if len(m.fastNodes) >= maxFastNodes {
		m.fastNodes = map[string]bool{m.config.Self: m.config.Fast}
	}
	m.fastNodes[address] = true
	m.rank()
}

// onFastPeer records a peer that reported a fast link. If the peer prefers other readers than
// this node does, it may take itself for the reader, so this node replies with its own list. Both
// then have the union of their lists, so there is at most one reply.
func (m *Machine) onFastPeer(event PeerSeen) {
	if !event.Fast {
		return
	}
	m.addFastNode(event.Address)
	reported := slices.DeleteFunc(slices.Clone(event.Preferred), func(address string) bool { return !m.isInZone(address) })
	if len(reported) > 0 && m.isInZone(event.Address) && !slices.Equal(reported, m.preferredInZone()) {
		m.emit(m.announcement(event.Address))
	}
}

func (m *Machine) isInZone(address string) bool {
	return slices.ContainsFunc(m.ranked, func(candidate peer) bool {
		return candidate.address == address && candidate.zone == m.config.Zone
	})
}

// markPreferred moves the fast nodes of this zone with the highest weights to the front. The
// nodes must already be sorted by weight.
func (m *Machine) markPreferred() {
	chosen := 0
	for index := range m.ranked {
		candidate := &m.ranked[index]
		if candidate.zone != m.config.Zone || chosen == maxPreferred {
			break
		}
		if m.fastNodes[candidate.address] {
			candidate.preferred = true
			chosen++
		}
	}
	slices.SortStableFunc(m.ranked, comparePeers)
}

// comparePreferred sorts preferred nodes first.
func comparePreferred(a, b peer) int {
	switch {
	case a.preferred == b.preferred:
		return 0
	case a.preferred:
		return -1
	default:
		return 1
	}
}

// preferredInZone returns the nodes that should read the store for this zone, as far as this node
// knows.
func (m *Machine) preferredInZone() []string {
	var preferred []string
	for _, candidate := range m.ranked {
		if candidate.preferred {
			preferred = append(preferred, candidate.address)
		}
	}
	return preferred
}

// Preferred returns the nodes to list in messages to peers: those that should read the store for
// this zone, and as many fast nodes of other zones.
func (m *Machine) Preferred() []string {
	preferred := m.preferredInZone()
	outside := 0
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && m.fastNodes[candidate.address] && outside < maxPreferred {
			preferred = append(preferred, candidate.address)
			outside++
		}
	}
	return preferred
}

// fastNodeInOtherZone returns an eligible fast node of another zone, "" if none is known.
func (m *Machine) fastNodeInOtherZone(now time.Time) string {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && m.fastNodes[candidate.address] && m.isEligible(candidate.address, now) {
			return candidate.address
		}
	}
	return ""
}

// readerWithoutPreference returns the first node of this zone that is not preferred, which reads
// the store as long as it does not know that this node is preferred. It returns "" if this node
// is not preferred or all nodes of the zone are.
func (m *Machine) readerWithoutPreference() string {
	if !slices.Contains(m.preferredInZone(), m.config.Self) {
		return ""
	}
	for _, candidate := range m.ranked {
		if !candidate.preferred && candidate.zone == m.config.Zone {
			return candidate.address
		}
	}
	return ""
}

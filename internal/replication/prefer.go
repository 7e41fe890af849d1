package replication

import (
	"slices"
	"time"
)

// Each change of the configuration brings all of it to a zone's reader, coded for text:
// 0.4 MB for 1600 routes, which is 0.65 s of a link of 5 Mbit/s, and up to five changes come
// in a second. What is passed on is a difference of a kilobyte or so. Where a zone has nodes
// with faster links, two of them read and pass news on; they come first in the zone's rank.
//
// Workers leave, and their machines with them: a zone may have no fast node left. Its first
// node then follows a fast one of another zone, and reads the store only if it knows none.
//
// A node knows its own link alone. A fast one tells the node that reads otherwise when it
// announces itself, and that one names the two with the highest weights with its news. What is known
// of links only grows, so the nodes of a zone come to the same order.

// preferredNodes is how many nodes of a zone come first: one more than reads.
const preferredNodes = 2

// mostFast bounds the fast nodes that are remembered: machines come and go. Beyond, they are
// learnt anew.
const mostFast = 1024

// FastLink reports whether a link, in megabits a second, brings the largest configuration
// in a tenth of the time within which a change has to be known. A link that nothing is
// known of, 0, counts as slow.
func FastLink(megabits float64, freshness time.Duration) bool {
	const (
		largestMegabits = 8 // a megabyte, the store's bound on one item
		share           = 0.1
	)
	return megabits*share*freshness.Seconds() >= largestMegabits
}

// learnFast notes that a node's link is fast.
func (m *Machine) learnFast(address string) {
	if m.fast[address] {
		return
	}
	if len(m.fast) >= mostFast {
		m.fast = map[string]bool{m.config.Self: m.config.Fast}
	}
	m.fast[address] = true
	m.rank()
}

// onFast notes that a node has told that its link is fast. One that prefers others than this
// node, itself most likely, is told whom: it may take itself for the reader. Both then know
// what both knew, so there is one reply at most.
func (m *Machine) onFast(event PeerSeen) {
	if !event.Fast {
		return
	}
	m.learnFast(event.Address)
	told := slices.DeleteFunc(slices.Clone(event.Preferred), func(address string) bool { return !m.isOfZone(address) })
	if len(told) > 0 && m.isOfZone(event.Address) && !slices.Equal(told, m.preferredHere()) {
		m.emit(m.announcementTo(event.Address))
	}
}

// isOfZone reports whether a node is of this node's zone.
func (m *Machine) isOfZone(address string) bool {
	return slices.ContainsFunc(m.ranked, func(candidate peer) bool {
		return candidate.address == address && candidate.zone == m.config.Zone
	})
}

// prefer puts the fast nodes of this zone with the highest weights first. The nodes are in
// the order of their weights.
func (m *Machine) prefer() {
	chosen := 0
	for index := range m.ranked {
		candidate := &m.ranked[index]
		if candidate.zone != m.config.Zone || chosen == preferredNodes {
			break
		}
		if m.fast[candidate.address] {
			candidate.preferred = true
			chosen++
		}
	}
	slices.SortStableFunc(m.ranked, compare)
}

// comparePreferred puts preferred nodes first.
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

// preferredHere returns the nodes that are to read the store for this zone, as far as is
// known.
func (m *Machine) preferredHere() []string {
	var preferred []string
	for _, candidate := range m.ranked {
		if candidate.preferred {
			preferred = append(preferred, candidate.address)
		}
	}
	return preferred
}

// Preferred returns the nodes that others are told of: those that are to read the store for
// this zone, and as many fast ones of other zones.
func (m *Machine) Preferred() []string {
	told := m.preferredHere()
	outside := 0
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && m.fast[candidate.address] && outside < preferredNodes {
			told = append(told, candidate.address)
			outside++
		}
	}
	return told
}

// fastOutside is a trusted fast node of another zone, "" if none is known.
func (m *Machine) fastOutside(now time.Time) string {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && m.fast[candidate.address] && m.trusts(candidate.address, now) {
			return candidate.address
		}
	}
	return ""
}

// formerReader is the node that reads where nobody knows that this one is preferred, "" if
// this one is not.
func (m *Machine) formerReader() string {
	if !slices.Contains(m.preferredHere(), m.config.Self) {
		return ""
	}
	for _, candidate := range m.ranked {
		if !candidate.preferred && candidate.zone == m.config.Zone {
			return candidate.address
		}
	}
	return ""
}

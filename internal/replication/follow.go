package replication

import (
	"cmp"
	"slices"
	"time"
)

// expectedReader returns the node that should read the store for this zone, as far as this node
// can tell: the first node of the zone, or a fast node of another zone that the first one follows
// instead.
func (m *Machine) expectedReader(now time.Time) string {
	first := m.firstOfZone(now)
	if first != m.config.Self {
		return first
	}
	if address := m.upstream(now); address != "" {
		return address
	}
	if !m.config.Fast {
		return cmp.Or(m.fastNodeInOtherZone(now), first)
	}
	return first
}

// firstOfZone returns the first eligible node of this zone by rank. A node whose own polls fail
// skips itself.
func (m *Machine) firstOfZone(now time.Time) string {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone {
			break
		}
		if candidate.address == m.config.Self && m.failures > 0 {
			continue
		}
		if candidate.address == m.config.Self || m.isEligible(candidate.address, now) {
			return candidate.address
		}
	}
	return m.config.Self
}

// updateReaderRole makes this node read the store once it is the expected reader or a backup
// reader. It keeps reading after another node becomes the expected reader, until that node is
// proven to read: see onFreshUpdate.
func (m *Machine) updateReaderRole(now time.Time) {
	if m.failures > 0 || m.state.Revision() == 0 {
		return
	}
	if m.expectedReader(now) == m.config.Self || m.isBackupReader(now) {
		m.reading = true
	}
}

// updateFollowing chooses which node to follow: none while this node reads the store itself, else
// the nearest eligible node above it in the zone's tree.
func (m *Machine) updateFollowing(now time.Time) {
	m.excludeUnresponsive(now)
	wanted := m.selectPeer(now)
	if wanted == m.following {
		return
	}
	m.following = wanted
	m.lastReceived = now
	m.followingSince = now
	m.emit(Follow{Address: wanted})
	m.emit(Log{Event: EventFollowing, Peer: wanted})
}

// excludeUnresponsive excludes the followed node if it has sent nothing within the timeout, or
// nothing fresh.
func (m *Machine) excludeUnresponsive(now time.Time) {
	if m.following == "" || !m.isEligible(m.following, now) {
		return
	}
	idle := now.Sub(m.lastReceived)
	timedOut := idle > m.share(peerTimeoutShare)
	graceOver := now.Sub(m.followingSince) > m.share(graceShare)
	stale := graceOver && m.isStale(now) && m.hasAlternative(now)
	if timedOut || stale {
		m.exclude(m.following, now, timedOut)
	}
}

func (m *Machine) hasAlternative(now time.Time) bool {
	for _, candidate := range m.ranked {
		if candidate.address != m.following && candidate.address != m.config.Self && m.isEligible(candidate.address, now) {
			return true
		}
	}
	return false
}

// fanOut bounds how many nodes of its zone follow one node in steady state. It bounds how often a
// link carries the same change, however large the zone is.
const fanOut = 8

// parentRank returns the rank of the node that a node of the given rank, above 0, follows.
func parentRank(rank int) int { return (rank - 1) / fanOut }

// selectPeer returns the node to follow: the parent in the zone's tree or the nearest eligible
// node above it; else a node of another zone if this node's catalog is stale; else the first
// eligible node by rank.
func (m *Machine) selectPeer(now time.Time) string {
	if m.reading && m.expectedReader(now) == m.config.Self {
		return ""
	}
	if address := m.upstream(now); address != "" && !m.isStale(now) {
		return address
	}
	if m.firstOfZone(now) == m.config.Self && !m.config.Fast {
		if outside := m.fastNodeInOtherZone(now); outside != "" {
			return outside
		}
	}
	for rank := m.ownRank(); rank > 0; {
		rank = parentRank(rank)
		if address := m.ranked[rank].address; m.isEligible(address, now) {
			return address
		}
	}
	if m.isStale(now) || m.followsOtherZone() {
		if outside := m.peerInOtherZone(now); outside != "" {
			return outside
		}
	}
	for _, candidate := range m.ranked {
		if candidate.address != m.config.Self && m.isEligible(candidate.address, now) {
			return candidate.address
		}
	}
	return ""
}

// isStale reports whether the catalog is so old that another node should be followed.
func (m *Machine) isStale(now time.Time) bool {
	age, known := m.Age(now)
	return known && age > m.share(m.staleThresholdShare(now))
}

func (m *Machine) followsOtherZone() bool {
	return slices.ContainsFunc(m.ranked, func(candidate peer) bool {
		return candidate.address == m.following && candidate.zone != m.config.Zone
	})
}

// peerInOtherZone returns an eligible node of another zone, "" if there is none. When a zone's
// reader is slow, all its nodes need one at once, so each starts its search at a different
// offset.
func (m *Machine) peerInOtherZone(now time.Time) string {
	for _, outside := range m.otherZonePeers() {
		for offset := range outside {
			candidate := outside[(m.ownRank()+offset)%len(outside)]
			if m.isEligible(candidate.address, now) {
				return candidate.address
			}
		}
	}
	return ""
}

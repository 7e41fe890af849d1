package replication

import (
	"cmp"
	"slices"
	"time"
)

// leader returns the node that has the duty to read the store for this zone, as far as
// this node can tell: the first of the zone, or a fast node of another one that the first
// follows instead.
func (m *Machine) leader(now time.Time) string {
	first := m.firstOfZone(now)
	if first != m.config.Self {
		return first
	}
	if above := m.upstream(now); above != "" {
		return above
	}
	if !m.config.Fast {
		return cmp.Or(m.fastOutside(now), first)
	}
	return first
}

// firstOfZone returns the first node of this zone that is trusted. A node whose own
// questions to the store fail does not hold itself for it.
func (m *Machine) firstOfZone(now time.Time) string {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone {
			break
		}
		if candidate.address == m.config.Self && m.failures > 0 {
			continue
		}
		if candidate.address == m.config.Self || m.trusts(candidate.address, now) {
			return candidate.address
		}
	}
	return m.config.Self
}

// takeDuty makes this node read the store once it is the first of its zone, as
// far as it can tell. It reads on after another node has become the first, until
// that one is proven to read: see believe.
func (m *Machine) takeDuty(now time.Time) {
	if m.failures > 0 || m.state.Revision() == 0 {
		return
	}
	if m.leader(now) == m.config.Self || m.standsIn(now) {
		m.reading = true
	}
}

// follow chooses whom to follow: nobody while this node reads the store
// itself, else the nearest node above it in the zone's tree that is trusted.
func (m *Machine) follow(now time.Time) {
	m.giveUpSilent(now)
	wanted := m.wanted(now)
	if wanted == m.following {
		return
	}
	m.following = wanted
	m.heard = now
	m.followed = now
	m.emit(Follow{Address: wanted})
	m.emit(Log{Event: EventFollowing, Peer: wanted})
}

// giveUpSilent distrusts the followed node when it says nothing, or nothing
// that is fresh.
func (m *Machine) giveUpSilent(now time.Time) {
	if m.following == "" || !m.trusts(m.following, now) {
		return
	}
	since := now.Sub(m.heard)
	silent := since > m.share(silenceShare)
	chance := now.Sub(m.followed) > m.share(chanceShare)
	stale := chance && m.isStale(now) && m.anotherTrusted(now)
	if silent || stale {
		m.giveUp(m.following, now, silent)
	}
}

func (m *Machine) anotherTrusted(now time.Time) bool {
	for _, candidate := range m.ranked {
		if candidate.address != m.following && candidate.address != m.config.Self && m.trusts(candidate.address, now) {
			return true
		}
	}
	return false
}

// fanOut is how many nodes of its zone follow one node in calm times. A link
// carries a change so often at most, however large the zone is.
const fanOut = 8

// parent is the rank of the node that the node of a rank above 0 follows.
func parent(rank int) int { return (rank - 1) / fanOut }

// wanted is the node to follow: the parent in the zone's tree, or the nearest node
// above it that is trusted, else another zone's where this one's knowledge is old,
// else the first of all by rank.
func (m *Machine) wanted(now time.Time) string {
	if m.reading && m.leader(now) == m.config.Self {
		return ""
	}
	if above := m.upstream(now); above != "" && !m.isStale(now) {
		return above
	}
	if m.firstOfZone(now) == m.config.Self && !m.config.Fast {
		if outside := m.fastOutside(now); outside != "" {
			return outside
		}
	}
	for rank := m.ownRank(); rank > 0; {
		rank = parent(rank)
		if above := m.ranked[rank].address; m.trusts(above, now) {
			return above
		}
	}
	if m.isStale(now) || m.followsOutside() {
		if outside := m.otherZones(now); outside != "" {
			return outside
		}
	}
	for _, candidate := range m.ranked {
		if candidate.address != m.config.Self && m.trusts(candidate.address, now) {
			return candidate.address
		}
	}
	return ""
}

// isStale reports whether what this node knows is so old that another one is to be
// followed.
func (m *Machine) isStale(now time.Time) bool {
	age, known := m.Age(now)
	return known && age > m.share(m.staleShare(now))
}

// followsOutside reports whether a node of another zone is followed.
func (m *Machine) followsOutside() bool {
	return slices.ContainsFunc(m.ranked, func(candidate peer) bool {
		return candidate.address == m.following && candidate.zone != m.config.Zone
	})
}

// otherZones is a trusted node of another zone, "" if there is none. All nodes of a
// zone whose reader is slow come here at once, so each begins at its own place.
func (m *Machine) otherZones(now time.Time) string {
	for _, outside := range m.outside() {
		for offset := range outside {
			candidate := outside[(m.ownRank()+offset)%len(outside)]
			if m.trusts(candidate.address, now) {
				return candidate.address
			}
		}
	}
	return ""
}

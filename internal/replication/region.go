package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Where zones lie in several regions, the way to the store or to another region is long, a
// call to the store is dear, and a zone of the same region is near. Then one node reads for
// all: the first of the first zone of the first region. The first of each other zone follows
// a node of the first zone of its region, and the first of that zone one of the first
// region. The order of regions and zones is that of hashes of their names, the same on all
// nodes.
//
// Knowledge that all take from one reader grows old everywhere at once when it is silent. So
// the first of each zone stands in before its zone turns elsewhere: it asks the store itself
// and reads on, until another node is proven to read (see believe). One that the store
// refuses turns to another region at that age.

// standInShare is the part of Config.Freshness from which on the first of a zone asks the
// store itself: above the age between two answers that bring nothing (readWaitShare), by
// which a slow store adds a sixth of Freshness at most, and below switchShare, so that its
// zone hears of it before it turns elsewhere.
const standInShare = 0.6

// severalRegions reports whether zones lie in more than one region.
func severalRegions(regions map[string]string) bool {
	var first string
	for _, region := range regions {
		if first != "" && region != first {
			return true
		}
		first = region
	}
	return false
}

// regionOf returns the region of a zone, "" where it is not known.
func (m *Machine) regionOf(zone string) string { return m.config.Regions[zone] }

// compareZones orders nodes of other zones by their regions and zones, where there are
// several regions.
func (m *Machine) compareZones(a, b peer) int {
	if !m.regional || a.zone == b.zone {
		return 0
	}
	return cmp.Or(compareNames(m.regionOf(a.zone), m.regionOf(b.zone)), compareNames(a.zone, b.zone))
}

// compareNames orders names by their hashes: a zone that is added or gone moves no other.
func compareNames(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)), cmp.Compare(a, b))
}

// heads reports whether no trusted node of this zone ranks before this one.
func (m *Machine) heads(now time.Time) bool {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone || candidate.address == m.config.Self {
			return true
		}
		if m.trusts(candidate.address, now) {
			return false
		}
	}
	return true
}

// upstream is the node that the first of a zone follows while it serves: one of a zone
// before its own in the region, else one of a region before its own. "" for all other
// nodes, for the first of all, and where there is one region.
func (m *Machine) upstream(now time.Time) string {
	if !m.regional || !m.heads(now) {
		return ""
	}
	own := peer{address: m.config.Self, zone: m.config.Zone}
	for _, candidate := range m.ranked {
		if candidate.zone == m.config.Zone || !m.trusts(candidate.address, now) {
			continue
		}
		if m.compareZones(candidate, own) < 0 {
			return candidate.address
		}
	}
	return ""
}

// standsIn reports whether this node is to ask the store although another one reads it.
func (m *Machine) standsIn(now time.Time) bool {
	if !m.regional || !m.heads(now) {
		return false
	}
	age, known := m.Age(now)
	return known && age > m.share(standInShare)
}

// precedes reports whether this node's zone comes before that of another node: of several
// that stand in for a reader only the first reads on, else each would give the duty up to
// another one.
func (m *Machine) precedes(address string) bool {
	if !m.regional {
		return false
	}
	for _, candidate := range m.ranked {
		if candidate.address == address {
			return m.compareZones(peer{zone: m.config.Zone}, candidate) < 0
		}
	}
	return false
}

// returns reports whether this node is to find out whether the store serves it again: it
// would read for all, and lives on another region's news since the store refused it.
func (m *Machine) returns(now time.Time) bool {
	return m.regional && m.failures > 0 && m.heads(now) && m.upstream(now) == ""
}

// staleShare is the part of Config.Freshness from which on this node follows another one.
func (m *Machine) staleShare(now time.Time) float64 {
	if m.failures > 0 && m.standsIn(now) {
		return standInShare
	}
	return switchShare
}

// outside returns the nodes of other zones: those of other regions apart and first, since
// the zones of a region learn from the same node.
func (m *Machine) outside() [][]peer {
	first := slices.IndexFunc(m.ranked, func(candidate peer) bool { return candidate.zone != m.config.Zone })
	if first < 0 {
		return nil
	}
	others := m.ranked[first:]
	far := slices.IndexFunc(others, func(candidate peer) bool { return m.distance(candidate) > 1 })
	if far < 0 {
		return [][]peer{others}
	}
	return [][]peer{others[far:], others[:far]}
}

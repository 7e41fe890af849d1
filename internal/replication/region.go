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

// place tells where a zone comes among all, seen from this node.
type place struct {
	distance     int // 0: this node's zone; 1: of its region, or where there is but one; 2: of another region
	region, zone string
	// The hashes of the names; 0 where there is one region, or none is known.
	regionHash, zoneHash uint64
}

// placeOf returns a zone's place.
func (m *Machine) placeOf(zone string) place {
	at := place{distance: 1}
	if zone == m.config.Zone {
		at.distance = 0
	}
	if !m.regional {
		return at
	}
	at.region, at.zone = m.config.Regions[zone], zone
	at.regionHash, at.zoneHash = xxhash.Sum64String(at.region), xxhash.Sum64String(at.zone)
	if at.region != m.config.Regions[m.config.Zone] {
		at.distance = 2
	}
	return at
}

// comparePlaces orders zones by the hashes of their regions' and their own names: one that
// is added or gone moves no other.
func comparePlaces(a, b place) int {
	return cmp.Or(
		cmp.Compare(b.regionHash, a.regionHash), cmp.Compare(a.region, b.region),
		cmp.Compare(b.zoneHash, a.zoneHash), cmp.Compare(a.zone, b.zone),
	)
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

// rankAbove returns the nodes of zones before this node's.
func (m *Machine) rankAbove() []peer {
	if !m.regional {
		return nil
	}
	own := m.placeOf(m.config.Zone)
	var above []peer
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && comparePlaces(candidate.place, own) < 0 {
			above = append(above, candidate)
		}
	}
	return above
}

// upstream is the node that the first of a zone follows while it serves: one of a zone
// before its own in the region, else one of a region before its own. "" for all other
// nodes, for the first of all, and where there is one region.
func (m *Machine) upstream(now time.Time) string {
	if len(m.above) == 0 || !m.heads(now) {
		return ""
	}
	for _, candidate := range m.above {
		if m.trusts(candidate.address, now) {
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
	far := slices.IndexFunc(others, func(candidate peer) bool { return candidate.place.distance > 1 })
	if far < 0 {
		return [][]peer{others}
	}
	return [][]peer{others[far:], others[:far]}
}

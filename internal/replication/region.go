package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// If zones lie in several regions, round trips to the store or to another region are long and
// calls to the store are expensive, while zones of one region are close to each other. Then one
// node reads for all: the first node of the first zone of the first region. The first node of
// each other zone follows a node of the first zone of its region, and the first node of that zone
// follows a node of the first region. Regions and zones are ordered by hashes of their names, the
// same on all nodes.
//
// If that one reader fails, all catalogs become stale at the same time. So the first node of each
// zone acts as a backup reader before its zone looks for other nodes: it polls the store itself
// and keeps reading until another node is proven to read (see onFreshUpdate). If the store
// rejects it, it follows a node of another region at that age.

// backupPollShare is the age, as a share of Config.Freshness, from which the first node of a zone
// polls the store itself. It is above the age reached between two responses without changes
// (longPollShare), to which a slow store adds at most a sixth of Freshness, and below
// staleAgeShare, so that the zone gets the result before its nodes follow others.
const backupPollShare = 0.6

func hasSeveralRegions(regions map[string]string) bool {
	var first string
	for _, region := range regions {
		if first != "" && region != first {
			return true
		}
		first = region
	}
	return false
}

// zoneOrder is the sort key of a zone, as seen from this node.
type zoneOrder struct {
	distance     int // 0: this node's zone; 1: a zone of its region, or any other zone if there is one region; 2: a zone of another region
	region, zone string
	// Hashes of the names; 0 if there is one region or regions are unknown.
	regionHash, zoneHash uint64
}

func (m *Machine) orderOf(zone string) zoneOrder {
	order := zoneOrder{distance: 1}
	if zone == m.config.Zone {
		order.distance = 0
	}
	if !m.multiRegion {
		return order
	}
	order.region, order.zone = m.config.Regions[zone], zone
	order.regionHash, order.zoneHash = xxhash.Sum64String(order.region), xxhash.Sum64String(order.zone)
	if order.region != m.config.Regions[m.config.Zone] {
		order.distance = 2
	}
	return order
}

// compareZones orders zones by the hashes of their regions' and their own names. Adding or
// removing a zone does not move any other.
func compareZones(a, b zoneOrder) int {
	return cmp.Or(
		cmp.Compare(b.regionHash, a.regionHash), cmp.Compare(a.region, b.region),
		cmp.Compare(b.zoneHash, a.zoneHash), cmp.Compare(a.zone, b.zone),
	)
}

// isFirstEligible reports whether no eligible node of this zone ranks before this one. Unlike
// firstOfZone, it does not skip this node while its own polls fail.
func (m *Machine) isFirstEligible(now time.Time) bool {
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone || candidate.address == m.config.Self {
			return true
		}
		if m.isEligible(candidate.address, now) {
			return false
		}
	}
	return true
}

// rankUpstream returns the nodes of zones ordered before this node's zone.
func (m *Machine) rankUpstream() []peer {
	if !m.multiRegion {
		return nil
	}
	own := m.orderOf(m.config.Zone)
	var above []peer
	for _, candidate := range m.ranked {
		if candidate.zone != m.config.Zone && compareZones(candidate.order, own) < 0 {
			above = append(above, candidate)
		}
	}
	return above
}

// upstream returns the eligible node of an earlier zone of the region, else of an earlier region,
// that this node follows as the first node of its zone. It is "" for all other nodes, for the
// first node overall, and if there is only one region.
func (m *Machine) upstream(now time.Time) string {
	if len(m.upstreamPeers) == 0 || !m.isFirstEligible(now) {
		return ""
	}
	for _, candidate := range m.upstreamPeers {
		if m.isEligible(candidate.address, now) {
			return candidate.address
		}
	}
	return ""
}

// isBackupReader reports whether this node should poll the store although another node is the
// reader.
func (m *Machine) isBackupReader(now time.Time) bool {
	if !m.multiRegion || !m.isFirstEligible(now) {
		return false
	}
	age, known := m.Age(now)
	return known && age > m.share(backupPollShare)
}

// probesStore reports whether this node should test whether the store serves it again: it would
// be the reader for all, but follows another node because its last poll failed.
func (m *Machine) probesStore(now time.Time) bool {
	return m.multiRegion && m.failures > 0 && m.isFirstEligible(now) && m.upstream(now) == ""
}

// staleThresholdShare returns the age, as a share of Config.Freshness, from which this node
// follows another one.
func (m *Machine) staleThresholdShare(now time.Time) float64 {
	if m.failures > 0 && m.isBackupReader(now) {
		return backupPollShare
	}
	return staleAgeShare
}

// otherZonePeers returns the nodes of other zones in groups, those of other regions first: the
// zones of one region get their updates from the same node, so a node of another region is more
// likely to be fresh.
func (m *Machine) otherZonePeers() [][]peer {
	first := slices.IndexFunc(m.ranked, func(candidate peer) bool { return candidate.zone != m.config.Zone })
	if first < 0 {
		return nil
	}
	others := m.ranked[first:]
	otherRegions := slices.IndexFunc(others, func(candidate peer) bool { return candidate.order.distance > 1 })
	if otherRegions < 0 {
		return [][]peer{others}
	}
	return [][]peer{others[otherRegions:], others[:otherRegions]}
}

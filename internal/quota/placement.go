package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Host is a node that may have stripes.
type Host struct {
	Address string // IP address by which other nodes reach it
	Zone    string
	Region  string
}

// hostRetention is how long a node keeps its stripes after its record is removed. Its process
// may be restarting, being replaced or cut off from the store: if others took over its stripes
// at once, a node that still runs would grant the same tokens again. The stripes of a node that
// is down are unused for that time.
const hostRetention = time.Minute

// hosts is the set of nodes that may have stripes.
type hosts struct {
	byAddress  map[string]*hostRecord
	generation uint64    // incremented when the set changes
	changedAt  time.Time // time of the last change; zero for the first configuration
	byZone     map[string][]hashedHost
}

type hostRecord struct {
	Host
	missingSince time.Time // since when its record is missing; zero while it is present
}

func newHosts() *hosts { return &hosts{byAddress: map[string]*hostRecord{}} }

// update applies the nodes that are currently in the catalog.
func (h *hosts) update(recorded []Host, now time.Time) {
	previous := h.generation
	missing := make(map[string]bool, len(h.byAddress))
	for address := range h.byAddress {
		missing[address] = true
	}
	for _, host := range recorded {
		delete(missing, host.Address)
		h.upsert(host, previous)
	}
	for address := range missing {
		if record := h.byAddress[address]; record.missingSince.IsZero() {
			record.missingSince = now
		}
	}
	h.finishUpdate(previous, now)
}

// upsert adds or updates a host that is in the catalog.
func (h *hosts) upsert(host Host, previous uint64) {
	record := h.byAddress[host.Address]
	if record == nil || record.Host != host {
		h.byAddress[host.Address] = &hostRecord{Host: host}
		h.generation = previous + 1
		return
	}
	record.missingSince = time.Time{}
}

// expire removes hosts whose records have been missing for hostRetention.
func (h *hosts) expire(now time.Time) {
	previous := h.generation
	for address, record := range h.byAddress {
		if !record.missingSince.IsZero() && now.Sub(record.missingSince) > hostRetention {
			delete(h.byAddress, address)
			h.generation = previous + 1
		}
	}
	h.finishUpdate(previous, now)
}

// finishUpdate records the time of a change of the set and rebuilds the index.
func (h *hosts) finishUpdate(previous uint64, now time.Time) {
	if h.generation == previous {
		return
	}
	if previous > 0 {
		h.changedAt = now
	}
	h.indexZones()
}

// indexZones groups the hosts by zone.
func (h *hosts) indexZones() {
	h.byZone = map[string][]hashedHost{}
	for _, host := range h.byAddress {
		h.byZone[host.Zone] = append(h.byZone[host.Zone], hashedHost{Host: host.Host, hash: hashOf(host.Address)})
	}
}

// hashedHost is a host with the hash of its address.
type hashedHost struct {
	Host
	hash uint64
}

// rankedHost is a host with its rank for one tenant. Stripes go to the lowest ranks first.
type rankedHost struct {
	Host
	rank uint64
}

// before orders hosts by rank, then by address.
func (r rankedHost) before(other rankedHost) bool {
	return r.rank < other.rank || r.rank == other.rank && r.Address < other.Address
}

// rank returns a host's rank for a tenant. It does not depend on other hosts, so that adding or
// removing a host changes no other rank.
func (h hashedHost) rank(tenant uint64) rankedHost {
	return rankedHost{Host: h.Host, rank: mix(h.hash ^ tenant)}
}

// deal returns the hosts for a number of stripes of a tenant, by rank within each zone and
// round robin over the zones.
func (h *hosts) deal(tenant string, count int) []Host {
	hash := hashOf(tenant)
	firsts := make([][]rankedHost, 0, len(h.byZone))
	for _, hosts := range h.byZone {
		firsts = append(firsts, firstByRank(hosts, hash, count))
	}
	slices.SortFunc(firsts, func(a, b []rankedHost) int { return cmp.Compare(a[0].rank, b[0].rank) })
	holders := make([]Host, 0, count)
	for round := 0; len(holders) < count && round < count; round++ {
		for _, zone := range firsts {
			if round < len(zone) && len(holders) < count {
				holders = append(holders, zone[round].Host)
			}
		}
	}
	return holders
}

// firstByRank returns up to count hosts with the lowest ranks, in order. Sorting all 850 hosts
// of a large mesh took nine times as long (1.2 ms instead of 0.13 ms, on a busy machine).
func firstByRank(hosts []hashedHost, tenant uint64, count int) []rankedHost {
	firsts := make([]rankedHost, 0, count+1)
	for _, host := range hosts {
		ranked := host.rank(tenant)
		if len(firsts) == count && !ranked.before(firsts[count-1]) {
			continue
		}
		position := len(firsts)
		for position > 0 && ranked.before(firsts[position-1]) {
			position--
		}
		firsts = slices.Insert(firsts, position, ranked)
		firsts = firsts[:min(count, len(firsts))]
	}
	return firsts
}

// position returns the number of hosts with a lower rank for a tenant than the host at the
// address, and false if that host is not in the set.
func (h *hosts) position(tenant, address string) (position int, found bool) {
	self := h.byAddress[address]
	if self == nil {
		return 0, false
	}
	hash := hashOf(tenant)
	own := hashedHost{Host: self.Host, hash: hashOf(address)}.rank(hash)
	for _, listed := range h.byZone {
		for _, host := range listed {
			if host.rank(hash).before(own) {
				position++
			}
		}
	}
	return position, true
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never returns an error
	return mix(hash.Sum64())
}

// mix spreads each bit over all bits: the plain hashes of names that differ only in their last
// character differ in few bits.
func mix(sum uint64) uint64 {
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

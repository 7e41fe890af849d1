package quota

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Host is a node that may hold stripes.
type Host struct {
	Address string // IP address by which others reach it
	Zone    string
	Region  string
}

// hostMemory is for how long a node holds its stripes after its record is gone. It is
// restarted, replaced or cut off from the store meanwhile: if others took its stripes at
// once, a node that lives would spend them as well. A stripe without a node lies idle.
const hostMemory = time.Minute

// hosts are the nodes that may hold stripes.
type hosts struct {
	known      map[string]*knownHost // by address
	generation uint64                // rises when the set changes
	changed    time.Time             // when it last did, but for the first time
	zones      int
}

type knownHost struct {
	Host
	gone time.Time // since when its record is missing, zero while it is there
}

func newHosts() *hosts { return &hosts{known: map[string]*knownHost{}} }

// update takes in the records of now.
func (h *hosts) update(recorded []Host, now time.Time) {
	before := h.generation
	missing := make(map[string]bool, len(h.known))
	for address := range h.known {
		missing[address] = true
	}
	for _, host := range recorded {
		delete(missing, host.Address)
		h.take(host, before)
	}
	for address := range missing {
		if held := h.known[address]; held.gone.IsZero() {
			held.gone = now
		}
	}
	h.settle(before, now)
}

// take takes in a host that is on record.
func (h *hosts) take(host Host, before uint64) {
	held := h.known[host.Address]
	if held == nil || held.Host != host {
		h.known[host.Address] = &knownHost{Host: host}
		h.generation = before + 1
		return
	}
	held.gone = time.Time{}
}

// expire forgets hosts whose records are gone for long.
func (h *hosts) expire(now time.Time) {
	before := h.generation
	for address, held := range h.known {
		if !held.gone.IsZero() && now.Sub(held.gone) > hostMemory {
			delete(h.known, address)
			h.generation = before + 1
		}
	}
	h.settle(before, now)
}

// settle notes a change of the set.
func (h *hosts) settle(before uint64, now time.Time) {
	if h.generation == before {
		return
	}
	if before > 0 {
		h.changed = now
	}
	h.countZones()
}

func (h *hosts) countZones() {
	zones := map[string]bool{}
	for _, host := range h.known {
		zones[host.Zone] = true
	}
	h.zones = len(zones)
}

// rankedHost is a host with its rank for one tenant: the lower the sooner.
type rankedHost struct {
	Host
	rank uint64
}

// ranked returns all hosts in the order of their ranks for a tenant. A host that comes or
// goes changes the order of no others.
func (h *hosts) ranked(tenant string) []rankedHost {
	ranked := make([]rankedHost, 0, len(h.known))
	for _, host := range h.known {
		ranked = append(ranked, rankedHost{Host: host.Host, rank: rankOf(tenant, host.Address)})
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Address, b.Address))
	})
	return ranked
}

// rankOf is the hash of a tenant and a host, mixed: names that differ in their last sign
// alone differ in few bits of the plain hash.
func rankOf(tenant, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(tenant)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum64()
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// deal returns the hosts of so many stripes, one zone after the other.
func deal(ranked []rankedHost, count int) []Host {
	byZone := map[string][]rankedHost{}
	for _, host := range ranked {
		byZone[host.Zone] = append(byZone[host.Zone], host)
	}
	zones := slices.SortedFunc(maps.Keys(byZone), func(a, b string) int {
		return cmp.Compare(byZone[a][0].rank, byZone[b][0].rank)
	})
	holders := make([]Host, 0, count)
	for round := 0; len(holders) < count && round < len(ranked); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(holders) < count {
				holders = append(holders, byZone[zone][round].Host)
			}
		}
	}
	return holders
}

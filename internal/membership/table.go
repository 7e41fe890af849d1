package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

// bucketCount is the number of hash buckets by which two views are compared.
const bucketCount = 64

// record is a member's register with this node's local state for it.
type record struct {
	member            wire.Member
	hash              uint64
	firstSeen         time.Time // when this Start was first received
	suspicionDeadline time.Time // deadline for a refutation, zero if not suspected
	diedAt            time.Time // when the member was declared dead, zero if live
	peerIndex         int       // in table.peers, -1 if absent
}

// table holds all registers and the hashes and indexes derived from them.
type table struct {
	self      string
	records   map[string]*record
	peers     []string // names of live members other than self, unordered
	suspects  map[string]*record
	dead      map[string]*record
	buckets   [bucketCount]uint64
	viewHash  uint64
	liveNames []string      // of live members, sorted
	live      []wire.Member // cache of sortedLive, nil when stale
}

func newTable(self wire.Member, now time.Time) *table {
	t := &table{
		self:      self.Name,
		records:   make(map[string]*record),
		suspects:  make(map[string]*record),
		dead:      make(map[string]*record),
		liveNames: []string{self.Name},
	}
	t.put(self, now)
	return t
}

// size returns the number of live members, self included.
func (t *table) size() int { return len(t.peers) + 1 }

func (t *table) member(name string) (wire.Member, bool) {
	entry, ok := t.records[name]
	if !ok {
		return wire.Member{}, false
	}
	return entry.member, true
}

// isLive reports whether the name is a member that is not declared dead.
func (t *table) isLive(name string) bool {
	entry, ok := t.records[name]
	return ok && entry.diedAt.IsZero()
}

// put stores a register and updates the derived hashes and indexes.
func (t *table) put(member wire.Member, now time.Time) *record {
	entry, ok := t.records[member.Name]
	if !ok {
		entry = &record{peerIndex: -1}
		t.records[member.Name] = entry
	}
	if entry.member.Start != member.Start || entry.firstSeen.IsZero() {
		entry.firstSeen = now
	}
	entry.member = member
	t.updateHashes(entry)
	t.reindex(entry, now)
	t.live = nil
	return entry
}

func (t *table) updateHashes(entry *record) {
	hash := registerHash(entry.member)
	bucket := bucketOf(entry.member.Name)
	t.buckets[bucket] += hash - entry.hash
	t.viewHash += hash - entry.hash
	entry.hash = hash
}

// reindex updates the lists of peers and dead members for a record.
func (t *table) reindex(entry *record, now time.Time) {
	name := entry.member.Name
	if entry.member.Status != wire.StatusDead {
		entry.diedAt = time.Time{}
		delete(t.dead, name)
		t.addPeer(entry)
		return
	}
	if entry.diedAt.IsZero() {
		entry.diedAt = now
	}
	t.dead[name] = entry
	t.removePeer(entry)
}

func (t *table) addPeer(entry *record) {
	if entry.peerIndex >= 0 || entry.member.Name == t.self {
		return
	}
	entry.peerIndex = len(t.peers)
	t.peers = append(t.peers, entry.member.Name)
	place, _ := slices.BinarySearch(t.liveNames, entry.member.Name)
	t.liveNames = slices.Insert(t.liveNames, place, entry.member.Name)
}

func (t *table) removePeer(entry *record) {
	if entry.peerIndex < 0 {
		return
	}
	last := len(t.peers) - 1
	moved := t.peers[last]
	t.peers[entry.peerIndex] = moved
	t.records[moved].peerIndex = entry.peerIndex
	t.peers = t.peers[:last]
	entry.peerIndex = -1
	if place, found := slices.BinarySearch(t.liveNames, entry.member.Name); found {
		t.liveNames = slices.Delete(t.liveNames, place, place+1)
	}
}

// remove deletes a dead member.
func (t *table) remove(name string) {
	delete(t.dead, name)
	delete(t.suspects, name)
	delete(t.records, name)
}

// sortedLive returns the live members sorted by name. Callers must not modify the
// slice.
func (t *table) sortedLive() []wire.Member {
	if t.live != nil {
		return t.live
	}
	t.live = make([]wire.Member, 0, t.size())
	for _, name := range t.liveNames {
		t.live = append(t.live, t.records[name].member)
	}
	return t.live
}

// inBuckets returns the registers in the marked buckets, dead members included,
// sorted by name.
func (t *table) inBuckets(marked [bucketCount]bool) []wire.Member {
	var members []wire.Member
	for name, entry := range t.records {
		if marked[bucketOf(name)] {
			members = append(members, entry.member)
		}
	}
	slices.SortFunc(members, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// differingBuckets marks the buckets whose hashes differ from the given ones.
func (t *table) differingBuckets(buckets []uint64) [bucketCount]bool {
	var marked [bucketCount]bool
	for index := range marked {
		marked[index] = t.buckets[index] != buckets[index]
	}
	return marked
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// sortedNames returns the keys in sorted order, so that runs are deterministic.
func sortedNames(records map[string]*record) []string {
	names := make([]string, 0, len(records))
	for name := range records {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

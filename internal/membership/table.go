package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

// bucketCount is the number of parts by which two views are compared.
const bucketCount = 64

// record is a register with what the machine itself knows of its member.
type record struct {
	member    wire.Member
	hash      uint64
	learned   time.Time // when this Start was first seen
	suspected time.Time // end of the wait for a refutation, zero if none runs
	died      time.Time // when it was declared dead, zero if not
	peerIndex int       // in table.peers, -1 if absent
}

// table holds all registers, with the hashes and lists derived from them.
type table struct {
	self     string
	records  map[string]*record
	peers    []string // names of live members but self, in no order
	suspects map[string]*record
	dead     map[string]*record
	buckets  [bucketCount]uint64
	view     uint64
	names    []string      // of live members, sorted
	live     []wire.Member // cache, nil when out of date
}

func newTable(self wire.Member, now time.Time) *table {
	t := &table{
		self:     self.Name,
		records:  make(map[string]*record),
		suspects: make(map[string]*record),
		dead:     make(map[string]*record),
		names:    []string{self.Name},
	}
	t.put(self, now)
	return t
}

// size returns the number of live members, self included.
func (t *table) size() int { return len(t.peers) + 1 }

func (t *table) member(name string) (wire.Member, bool) {
	held, ok := t.records[name]
	if !ok {
		return wire.Member{}, false
	}
	return held.member, true
}

// isLive reports whether the name is a member not held for dead.
func (t *table) isLive(name string) bool {
	held, ok := t.records[name]
	return ok && held.died.IsZero()
}

// put stores a register and brings what is derived from it up to date.
func (t *table) put(member wire.Member, now time.Time) *record {
	held, ok := t.records[member.Name]
	if !ok {
		held = &record{peerIndex: -1}
		t.records[member.Name] = held
	}
	if held.member.Start != member.Start || held.learned.IsZero() {
		held.learned = now
	}
	held.member = member
	t.rehash(held)
	t.index(held, now)
	t.live = nil
	return held
}

func (t *table) rehash(held *record) {
	hash := registerHash(held.member)
	bucket := bucketOf(held.member.Name)
	t.buckets[bucket] += hash - held.hash
	t.view += hash - held.hash
	held.hash = hash
}

// index keeps the lists of peers and of dead members.
func (t *table) index(held *record, now time.Time) {
	name := held.member.Name
	if held.member.Status != wire.StatusDead {
		held.died = time.Time{}
		delete(t.dead, name)
		t.addPeer(held)
		return
	}
	if held.died.IsZero() {
		held.died = now
	}
	t.dead[name] = held
	t.removePeer(held)
}

func (t *table) addPeer(held *record) {
	if held.peerIndex >= 0 || held.member.Name == t.self {
		return
	}
	held.peerIndex = len(t.peers)
	t.peers = append(t.peers, held.member.Name)
	place, _ := slices.BinarySearch(t.names, held.member.Name)
	t.names = slices.Insert(t.names, place, held.member.Name)
}

func (t *table) removePeer(held *record) {
	if held.peerIndex < 0 {
		return
	}
	last := len(t.peers) - 1
	moved := t.peers[last]
	t.peers[held.peerIndex] = moved
	t.records[moved].peerIndex = held.peerIndex
	t.peers = t.peers[:last]
	held.peerIndex = -1
	if place, found := slices.BinarySearch(t.names, held.member.Name); found {
		t.names = slices.Delete(t.names, place, place+1)
	}
}

// forget drops a dead member.
func (t *table) forget(name string) {
	delete(t.dead, name)
	delete(t.suspects, name)
	delete(t.records, name)
}

// sorted returns the live members by name. Callers must not change the slice.
func (t *table) sorted() []wire.Member {
	if t.live != nil {
		return t.live
	}
	t.live = make([]wire.Member, 0, t.size())
	for _, name := range t.names {
		t.live = append(t.live, t.records[name].member)
	}
	return t.live
}

// inBuckets returns the registers, dead ones too, of the marked buckets.
func (t *table) inBuckets(marked [bucketCount]bool) []wire.Member {
	var members []wire.Member
	for name, held := range t.records {
		if marked[bucketOf(name)] {
			members = append(members, held.member)
		}
	}
	slices.SortFunc(members, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// differing marks the buckets whose hashes differ from the given ones.
func (t *table) differing(buckets []uint64) [bucketCount]bool {
	var marked [bucketCount]bool
	for index := range marked {
		marked[index] = t.buckets[index] != buckets[index]
	}
	return marked
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// sortedNames returns the keys in order, so that map order decides nothing.
func sortedNames(records map[string]*record) []string {
	names := make([]string, 0, len(records))
	for name := range records {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

package distribution

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

// rankedMember is a member with its rendezvous score within its zone. The
// lowest score ranks first, and leaving members rank after all others.
type rankedMember struct {
	name    string
	zone    string
	score   uint64
	leaving bool
}

func compareRanked(a, b rankedMember) int {
	return cmp.Or(compareBool(a.leaving, b.leaving), cmp.Compare(a.score, b.score), strings.Compare(a.name, b.name))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// view is this node's view of the membership, with the duties and trees derived
// from it. Duties are derived at once, trees on first use.
type view struct {
	self              string
	members           []wire.Member  // sorted by name, self included
	rankedMembers     []rankedMember // of the members, in the same order
	memberCountByZone map[string]int // including leaving members
	eligible          int            // members that are not leaving
	readers           []rankedMember // the first is the leader
	fanout            int

	orderByZone    map[string][]rankedMember // members by rank, derived on first use
	childrenByRoot map[string][]string       // this node's children, derived on first use
}

func newView(config Config, members []wire.Member) *view {
	v := &view{
		self:              config.Self.Name,
		members:           withSelf(members, config.Self),
		memberCountByZone: make(map[string]int),
		fanout:            max(config.Fanout, 2),
		childrenByRoot:    make(map[string][]string),
	}
	v.rankedMembers = make([]rankedMember, len(v.members))
	best := make(map[string][]rankedMember)
	for i := range v.members {
		member := rank(&v.members[i])
		v.rankedMembers[i] = member
		v.memberCountByZone[member.zone]++
		if member.leaving {
			continue
		}
		v.eligible++
		best[member.zone] = insertBest(best[member.zone], member, config.ReadersPerZone)
	}
	v.readers = chooseReaders(best, config.MaxReaders)
	return v
}

// withSelf returns the members with this node added if it is missing.
func withSelf(members []wire.Member, self wire.Member) []wire.Member {
	index, found := slices.BinarySearchFunc(members, self.Name, compareName)
	if found {
		return members
	}
	return slices.Insert(slices.Clone(members), index, self)
}

func compareName(member wire.Member, name string) int { return strings.Compare(member.Name, name) }

func rank(member *wire.Member) rankedMember {
	return rankedMember{
		name:    member.Name,
		zone:    member.Zone,
		score:   xxhash.Sum64String(member.Zone + "\x00" + member.Name),
		leaving: member.Status == wire.StatusLeaving,
	}
}

// insertBest inserts a candidate into a zone's best members, in order and up to
// the limit.
func insertBest(best []rankedMember, candidate rankedMember, limit int) []rankedMember {
	index, _ := slices.BinarySearchFunc(best, candidate, compareRanked)
	if index >= limit {
		return best
	}
	best = slices.Insert(best, index, candidate)
	return best[:min(len(best), limit)]
}

// chooseReaders orders the best members of all zones, the first of each zone
// before the second of each, and truncates the list to the limit.
func chooseReaders(best map[string][]rankedMember, limit int) []rankedMember {
	type placed struct {
		rankedMember
		place int
	}
	var all []placed
	for _, zone := range best {
		for place, member := range zone {
			all = append(all, placed{member, place})
		}
	}
	slices.SortFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.place, b.place), compareRanked(a.rankedMember, b.rankedMember))
	})
	readers := make([]rankedMember, 0, min(len(all), limit))
	for _, reader := range all[:min(len(all), limit)] {
		readers = append(readers, reader.rankedMember)
	}
	return readers
}

// sameAs reports whether the members lead to the same duties and trees as the
// view.
func (v *view) sameAs(members []wire.Member) bool {
	return slices.EqualFunc(v.members, members, func(a, b wire.Member) bool {
		return a.Name == b.Name && a.Zone == b.Zone && a.Start == b.Start &&
			(a.Status == wire.StatusLeaving) == (b.Status == wire.StatusLeaving)
	})
}

// member returns the member of that name, nil if it is not live.
func (v *view) member(name string) *wire.Member {
	index, found := slices.BinarySearchFunc(v.members, name, compareName)
	if !found {
		return nil
	}
	return &v.members[index]
}

// readerRank returns the position of a member among the readers, -1 if it is
// none.
func (v *view) readerRank(name string) int {
	return slices.IndexFunc(v.readers, func(reader rankedMember) bool { return reader.name == name })
}

// leader returns the name of the first reader, "" if there is none.
func (v *view) leader() string {
	if len(v.readers) == 0 {
		return ""
	}
	return v.readers[0].name
}

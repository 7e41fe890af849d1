package distribution

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

// ranked is a member with its rendezvous score within its zone. The lowest
// score comes first, leaving members after all others.
type ranked struct {
	name    string
	zone    string
	score   uint64
	leaving bool
}

func compareRanked(a, b ranked) int {
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

// view is what this node believes of the membership, with the duties and trees
// that follow from it. Duties are derived at once, trees when first asked for.
type view struct {
	self     string
	members  []wire.Member  // sorted by name, self included
	ranks    []ranked       // of the members, in the same order
	zones    map[string]int // members in each zone
	eligible int            // members that are not leaving
	readers  []ranked       // the first is the leader
	fanout   int

	orders   map[string][]ranked // each zone's members by rank, derived when needed
	children map[string][]string // this node's children by root, derived when needed
}

func newView(config Config, members []wire.Member) *view {
	v := &view{
		self:     config.Self.Name,
		members:  withSelf(members, config.Self),
		zones:    make(map[string]int),
		fanout:   max(config.Fanout, 2),
		children: make(map[string][]string),
	}
	v.ranks = make([]ranked, len(v.members))
	best := make(map[string][]ranked)
	for i := range v.members {
		member := rank(&v.members[i])
		v.ranks[i] = member
		v.zones[member.zone]++
		if member.leaving {
			continue
		}
		v.eligible++
		best[member.zone] = insertBest(best[member.zone], member, config.ReadersPerZone)
	}
	v.readers = chooseReaders(best, config.MaxReaders)
	return v
}

// withSelf returns the members with this node among them.
func withSelf(members []wire.Member, self wire.Member) []wire.Member {
	index, found := slices.BinarySearchFunc(members, self.Name, compareName)
	if found {
		return members
	}
	return slices.Insert(slices.Clone(members), index, self)
}

func compareName(member wire.Member, name string) int { return strings.Compare(member.Name, name) }

func rank(member *wire.Member) ranked {
	return ranked{
		name:    member.Name,
		zone:    member.Zone,
		score:   xxhash.Sum64String(member.Zone + "\x00" + member.Name),
		leaving: member.Status == wire.StatusLeaving,
	}
}

// insertBest keeps the best few of a zone in order.
func insertBest(best []ranked, candidate ranked, limit int) []ranked {
	index, _ := slices.BinarySearchFunc(best, candidate, compareRanked)
	if index >= limit {
		return best
	}
	best = slices.Insert(best, index, candidate)
	return best[:min(len(best), limit)]
}

// chooseReaders orders the zones' best members, all firsts before all seconds,
// and cuts the list to the fleet-wide bound.
func chooseReaders(best map[string][]ranked, limit int) []ranked {
	type placed struct {
		ranked
		place int
	}
	var all []placed
	for _, zone := range best {
		for place, member := range zone {
			all = append(all, placed{member, place})
		}
	}
	slices.SortFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.place, b.place), compareRanked(a.ranked, b.ranked))
	})
	readers := make([]ranked, 0, min(len(all), limit))
	for _, reader := range all[:min(len(all), limit)] {
		readers = append(readers, reader.ranked)
	}
	return readers
}

// sameAs reports whether duties and trees of the two views are the same.
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

// readerRank returns the place of a member among the readers, -1 if it is none.
func (v *view) readerRank(name string) int {
	return slices.IndexFunc(v.readers, func(reader ranked) bool { return reader.name == name })
}

// leader returns the name of the first reader, "" when there is none.
func (v *view) leader() string {
	if len(v.readers) == 0 {
		return ""
	}
	return v.readers[0].name
}

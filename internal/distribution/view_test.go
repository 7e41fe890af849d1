package distribution

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/wire"
)

func membersIn(count, zones int) []wire.Member {
	var members []wire.Member
	for i := range count {
		members = append(members, wire.Member{Name: fmt.Sprintf("node-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Status: wire.StatusAlive})
	}
	return members
}

func viewOf(members []wire.Member, self wire.Member) *view {
	config := DefaultConfig()
	config.Self = self
	return newView(config, members)
}

func TestTreeOfAnyRootReachesEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := membersIn(rapid.IntRange(1, 120).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "zones"))
		for i := range members {
			if rapid.IntRange(0, 9).Draw(t, "leaving") == 0 {
				members[i].Status = wire.StatusLeaving
			}
		}
		root := members[rapid.IntRange(0, len(members)-1).Draw(t, "root")].Name
		fed := map[string]string{}
		for _, member := range members {
			v := viewOf(members, member)
			for _, child := range v.childrenFor(root) {
				must.Eq(t, "", fed[child])
				fed[child] = member.Name
			}
		}
		must.MapLen(t, len(members)-1, fed)
		for _, member := range members {
			must.Eq(t, fed[member.Name], viewOf(members, member).parentFor(root))
		}
	})
}

func TestReadersAreBoundedSpreadAndStable(t *testing.T) {
	members := membersIn(850, 12)
	readers := viewOf(members, members[0]).readers
	must.Len(t, DefaultConfig().MaxReaders, readers)
	zones := map[string]bool{}
	for _, reader := range readers {
		zones[reader.zone] = true
	}
	must.MapLen(t, 12, zones)

	members = membersIn(850, 5)
	before := viewOf(members, members[0]).readers
	must.Len(t, 10, before)
	lost := before[3].name
	fewer := slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return m.Name == lost })
	changed := 0
	for _, reader := range viewOf(fewer, members[0]).readers {
		if !slices.Contains(before, reader) {
			changed++
		}
	}
	must.Eq(t, 1, changed)
}

func TestLeavingMemberHasNoDuty(t *testing.T) {
	members := membersIn(4, 2)
	leader := viewOf(members, members[0]).leader()
	index, _ := slices.BinarySearchFunc(members, leader, func(m wire.Member, name string) int { return strings.Compare(m.Name, name) })
	members[index].Status = wire.StatusLeaving
	must.Eq(t, -1, viewOf(members, members[0]).readerRank(leader))
}

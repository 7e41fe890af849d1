package distribution

import "slices"

// maxCachedTrees is the number of roots whose trees are cached for one view.
const maxCachedTrees = 8

// childrenFor returns the members to which this node forwards what the root
// sent. Each zone is a tree of tiers by rank: one member, then Fanout, then
// Fanout squared and so on. A member's parent is chosen by rendezvous hash
// among the tier above, so that a change of one member moves few others. The
// root heads its own zone and also sends to the first member of each other
// zone.
func (v *view) childrenFor(root string) []string {
	if children, known := v.childrenByRoot[root]; known {
		return children
	}
	if len(v.childrenByRoot) >= maxCachedTrees {
		clear(v.childrenByRoot)
	}
	children := v.deriveChildren(root)
	v.childrenByRoot[root] = children
	return children
}

func (v *view) deriveChildren(root string) []string {
	rootMember, selfMember := v.member(root), v.member(v.self)
	if rootMember == nil || selfMember == nil {
		return nil
	}
	order := v.zoneOrder(selfMember.Zone)
	if rootMember.Zone == selfMember.Zone {
		order = withRootFirst(order, root)
	}
	children := v.childrenWithin(order)
	if root == v.self {
		children = append(children, v.headsOfOtherZones(selfMember.Zone)...)
	}
	return children
}

// parentFor returns this node's parent in the root's tree, "" if it is the root
// or either is not live.
func (v *view) parentFor(root string) string {
	rootMember, selfMember := v.member(root), v.member(v.self)
	if rootMember == nil || selfMember == nil || root == v.self {
		return ""
	}
	order := v.zoneOrder(selfMember.Zone)
	if rootMember.Zone == selfMember.Zone {
		order = withRootFirst(order, root)
	}
	index := indexOf(order, v.self)
	if index == 0 {
		return root
	}
	start, width := tierOf(index, v.fanout)
	return chooseParent(order[start-width/v.fanout:start], order[index]).name
}

// tierOf returns the start and width of the tier that contains the index.
func tierOf(index, fanout int) (start, width int) {
	width = 1
	for start+width <= index {
		start, width = start+width, width*fanout
	}
	return start, width
}

// childrenWithin returns this node's children within its zone, given its order.
func (v *view) childrenWithin(order []rankedMember) []string {
	index := indexOf(order, v.self)
	if index < 0 {
		return nil
	}
	start, width := tierOf(index, v.fanout)
	below := min(start+width, len(order))
	end := min(below+width*v.fanout, len(order))
	var children []string
	for _, member := range order[below:end] {
		if chooseParent(order[start:below], member).name == v.self {
			children = append(children, member.name)
		}
	}
	return children
}

// chooseParent returns the parent with the highest score for the child.
func chooseParent(parents []rankedMember, child rankedMember) rankedMember {
	best, bestScore := 0, uint64(0)
	for i, parent := range parents {
		if score := mix(parent.score ^ (child.score * pairMultiplier)); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return parents[best]
}

// Multipliers of the finalizer of splitmix64 (Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", 2014).
const (
	pairMultiplier   = 0x9e3779b97f4a7c15
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondMultiplier = 0x94d049bb133111eb
)

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= firstMultiplier
	x ^= x >> 27
	x *= secondMultiplier
	return x ^ x>>31
}

// zoneOrder returns the members of a zone by rank.
func (v *view) zoneOrder(zone string) []rankedMember {
	if v.orderByZone == nil {
		v.orderByZone = make(map[string][]rankedMember, len(v.memberCountByZone))
	}
	order, known := v.orderByZone[zone]
	if known {
		return order
	}
	order = make([]rankedMember, 0, v.memberCountByZone[zone])
	for _, member := range v.rankedMembers {
		if member.zone == zone {
			order = append(order, member)
		}
	}
	slices.SortFunc(order, compareRanked)
	v.orderByZone[zone] = order
	return order
}

// headsOfOtherZones returns the first member of each other zone, by rank.
func (v *view) headsOfOtherZones(own string) []string {
	best := make(map[string]rankedMember, len(v.memberCountByZone))
	for _, member := range v.rankedMembers {
		head, known := best[member.zone]
		if !known || compareRanked(member, head) < 0 {
			best[member.zone] = member
		}
	}
	delete(best, own)
	heads := make([]rankedMember, 0, len(best))
	for _, head := range best {
		heads = append(heads, head)
	}
	slices.SortFunc(heads, compareRanked)
	names := make([]string, 0, len(heads))
	for _, head := range heads {
		names = append(names, head.name)
	}
	return names
}

// withRootFirst returns the order with the root moved to the front.
func withRootFirst(order []rankedMember, root string) []rankedMember {
	index := indexOf(order, root)
	if index <= 0 {
		return order
	}
	headed := make([]rankedMember, 0, len(order))
	headed = append(headed, order[index])
	headed = append(headed, order[:index]...)
	return append(headed, order[index+1:]...)
}

func indexOf(order []rankedMember, name string) int {
	return slices.IndexFunc(order, func(member rankedMember) bool { return member.name == name })
}

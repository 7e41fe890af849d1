package distribution

import "slices"

// maxTrees is the number of roots whose trees are kept for one view.
const maxTrees = 8

// childrenFor returns the members to which this node passes on what the root
// sent. Each zone is a tree of tiers by rank: one member, then Fanout, then
// Fanout squared and so on. A member's parent is chosen by rendezvous hash
// among the tier above, so that a change of one member moves few others. The
// root heads its own zone and feeds the first member of each other zone.
func (v *view) childrenFor(root string) []string {
	if children, known := v.children[root]; known {
		return children
	}
	if len(v.children) >= maxTrees {
		clear(v.children)
	}
	children := v.deriveChildren(root)
	v.children[root] = children
	return children
}

func (v *view) deriveChildren(root string) []string {
	rootMember, selfMember := v.member(root), v.member(v.self)
	if rootMember == nil || selfMember == nil {
		return nil
	}
	order := v.order(selfMember.Zone)
	if rootMember.Zone == selfMember.Zone {
		order = headedBy(order, root)
	}
	children := v.childrenWithin(order)
	if root == v.self {
		children = append(children, v.otherHeads(selfMember.Zone)...)
	}
	return children
}

// parentFor returns the member that feeds this node in the root's tree.
func (v *view) parentFor(root string) string {
	rootMember, selfMember := v.member(root), v.member(v.self)
	if rootMember == nil || selfMember == nil || root == v.self {
		return ""
	}
	order := v.order(selfMember.Zone)
	if rootMember.Zone == selfMember.Zone {
		order = headedBy(order, root)
	}
	index := indexOf(order, v.self)
	if index == 0 {
		return root
	}
	start, width := tierOf(index, v.fanout)
	return chooseParent(order[start-width/v.fanout:start], order[index]).name
}

// tierOf returns the start and width of the tier that holds the index.
func tierOf(index, fanout int) (start, width int) {
	width = 1
	for start+width <= index {
		start, width = start+width, width*fanout
	}
	return start, width
}

// childrenWithin returns this node's children among its zone's order.
func (v *view) childrenWithin(order []ranked) []string {
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

// chooseParent returns the parent with the highest pair score.
func chooseParent(parents []ranked, child ranked) ranked {
	best, bestScore := 0, uint64(0)
	for i, parent := range parents {
		if score := mix(parent.score ^ (child.score * pairMultiplier)); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return parents[best]
}

// The multipliers of the finalizer of splitmix64 (Steele, Lea and Flood, "Fast
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

// order returns the members of a zone by rank.
func (v *view) order(zone string) []ranked {
	if v.orders == nil {
		v.orders = make(map[string][]ranked, len(v.zones))
	}
	order, known := v.orders[zone]
	if known {
		return order
	}
	order = make([]ranked, 0, v.zones[zone])
	for _, member := range v.ranks {
		if member.zone == zone {
			order = append(order, member)
		}
	}
	slices.SortFunc(order, compareRanked)
	v.orders[zone] = order
	return order
}

// otherHeads returns the first member of each other zone, by name of the zone.
func (v *view) otherHeads(own string) []string {
	best := make(map[string]ranked, len(v.zones))
	for _, member := range v.ranks {
		head, known := best[member.zone]
		if !known || compareRanked(member, head) < 0 {
			best[member.zone] = member
		}
	}
	delete(best, own)
	heads := make([]ranked, 0, len(best))
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

// headedBy moves the root to the front of its zone's order.
func headedBy(order []ranked, root string) []ranked {
	index := indexOf(order, root)
	if index <= 0 {
		return order
	}
	headed := make([]ranked, 0, len(order))
	headed = append(headed, order[index])
	headed = append(headed, order[:index]...)
	return append(headed, order[index+1:]...)
}

func indexOf(order []ranked, name string) int {
	return slices.IndexFunc(order, func(member ranked) bool { return member.name == name })
}

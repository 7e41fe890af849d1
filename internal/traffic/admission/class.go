package admission

import (
	"cmp"
	"container/list"
	"slices"

	"sliphead/internal/declaration"
)

// Class is a priority class, the lowest number first served. The classes of callers
// without a tenant come first, as those of a tenant's priority of 0.
type Class int

// The classes, in the order in which they are served, of requests without a tenant.
const (
	Internal Class = iota
	Interactive
	Upload
	Batch
	classes
)

const (
	// ranks is the number of classes of one tenant's priority: routes' priorities beyond
	// count as the last.
	ranks = 16
	// mostPriority bounds tenants' priorities: beyond, all count alike.
	mostPriority = 1 << 20
)

// ClassOf returns the class of a declared priority.
func ClassOf(priority declaration.Priority) Class {
	switch priority {
	case declaration.PriorityInternal:
		return Internal
	case declaration.PriorityInteractive:
		return Interactive
	case declaration.PriorityUpload:
		return Upload
	default:
		return Batch
	}
}

// ClassOfRank returns the class of priorities given as numbers, 0 the first: that of a
// tenant comes before that of a route.
func ClassOfRank(tenant, route int) Class {
	return Class(min(max(tenant, 0), mostPriority))*ranks + min(max(Class(route), 0), ranks-1)
}

// line holds the waiting requests of a class, in the order in which they are served:
// see place.
type line struct {
	class   Class
	waiting *list.List // of *Ticket[W]
}

// baseLines are the lines of the classes without a tenant.
func baseLines() []*line {
	var lines []*line
	for class := Internal; class < classes; class++ {
		lines = append(lines, &line{class, list.New()})
	}
	return lines
}

// mostLines bounds the lines that are kept: beyond, those in which nothing waits are
// given up.
const mostLines = 64

// lineOf returns the line of a class, a new one if there is none.
func (q *Queue[W]) lineOf(class Class) *line {
	byClass := func(held *line, class Class) int { return cmp.Compare(held.class, class) }
	at, found := slices.BinarySearchFunc(q.lines, class, byClass)
	if found {
		return q.lines[at]
	}
	if len(q.lines) >= mostLines {
		q.lines = slices.DeleteFunc(q.lines, func(held *line) bool { return held.class >= classes && held.waiting.Len() == 0 })
		at, _ = slices.BinarySearchFunc(q.lines, class, byClass)
	}
	added := &line{class, list.New()}
	q.lines = slices.Insert(q.lines, at, added)
	return added
}

// reserve is the number of places in the queue that no other class may take: a quarter of
// all, divided among the classes.
func (q *Queue[W]) reserve() int {
	const share = 4
	return q.settings.Length / (share * len(q.lines))
}

// hasRoom reports whether the class may take a place and leave the others
// their reserves.
func (q *Queue[W]) hasRoom(class Class) bool {
	taken := q.length
	for _, other := range q.lines {
		if other.class != class {
			taken += max(0, q.reserve()-other.waiting.Len())
		}
	}
	return taken < q.settings.Length
}

// givesWayTo returns the request that goes last of the lowest class below the given
// request's that holds more than its reserve, or of its own class if that has a later start.
func (q *Queue[W]) givesWayTo(ticket *Ticket[W]) *Ticket[W] {
	for _, held := range slices.Backward(q.lines) {
		if held.class < ticket.class {
			return nil
		}
		if held.waiting.Len() <= q.reserve() {
			continue
		}
		last := held.waiting.Back().Value.(*Ticket[W])
		if held.class > ticket.class || last.start > ticket.start {
			return last
		}
	}
	return nil
}

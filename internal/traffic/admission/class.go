package admission

import (
	"cmp"
	"container/list"
	"slices"

	"sliphead/internal/declaration"
)

// Class is a priority class; lower numbers are served first. Requests without a tenant use
// the same classes as those of tenant priority 0.
type Class int

// The classes of requests without a tenant, highest priority first.
const (
	Internal Class = iota
	Interactive
	Upload
	Batch
	classes
)

const (
	// routeRanks is the number of classes for each tenant priority. Route priorities beyond
	// it share the last class.
	routeRanks = 16
	// maxPriority is the highest tenant priority that is distinguished; larger ones are
	// treated as equal to it.
	maxPriority = 1 << 20
)

// ClassOf returns the class of a declared priority; unknown priorities are Batch.
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

// ClassOfRank returns the class of numeric priorities, 0 being the highest. The tenant's
// priority takes precedence over the route's. Values out of range are clamped.
func ClassOfRank(tenant, route int) Class {
	return Class(min(max(tenant, 0), maxPriority))*routeRanks + min(max(Class(route), 0), routeRanks-1)
}

// classQueue holds the queued requests of one class in serving order (see insertPosition).
type classQueue struct {
	class   Class
	waiting *list.List // of *Ticket[W]
}

// newClassQueues returns empty queues for the classes of requests without a tenant.
func newClassQueues() []*classQueue {
	var queues []*classQueue
	for class := Internal; class < classes; class++ {
		queues = append(queues, &classQueue{class, list.New()})
	}
	return queues
}

// maxClassQueues is the number of class queues at which empty ones are removed before
// another is added.
const maxClassQueues = 64

// classQueueOf returns the queue of a class and creates it if missing.
func (q *Queue[W]) classQueueOf(class Class) *classQueue {
	byClass := func(queue *classQueue, class Class) int { return cmp.Compare(queue.class, class) }
	at, found := slices.BinarySearchFunc(q.classQueues, class, byClass)
	if found {
		return q.classQueues[at]
	}
	if len(q.classQueues) >= maxClassQueues {
		q.classQueues = slices.DeleteFunc(q.classQueues, func(queue *classQueue) bool { return queue.class >= classes && queue.waiting.Len() == 0 })
		at, _ = slices.BinarySearchFunc(q.classQueues, class, byClass)
	}
	added := &classQueue{class, list.New()}
	q.classQueues = slices.Insert(q.classQueues, at, added)
	return added
}

// reserve is the number of queue places that each class has to itself: a quarter of the
// queue, divided evenly among the classes.
func (q *Queue[W]) reserve() int {
	const reservedDivisor = 4
	return q.settings.Length / (reservedDivisor * len(q.classQueues))
}

// hasRoom reports whether the class may take a place without using the places reserved for
// others.
func (q *Queue[W]) hasRoom(class Class) bool {
	taken := q.length
	for _, other := range q.classQueues {
		if other.class != class {
			taken += max(0, q.reserve()-other.waiting.Len())
		}
	}
	return taken < q.settings.Length
}

// evictionCandidate returns the request to evict for the given one, or nil. It is the last
// request of the lowest class that exceeds its reserve, if that class is below the given
// request's or, in the same class, if its virtual start is later.
func (q *Queue[W]) evictionCandidate(ticket *Ticket[W]) *Ticket[W] {
	for _, queue := range slices.Backward(q.classQueues) {
		if queue.class < ticket.class {
			return nil
		}
		if queue.waiting.Len() <= q.reserve() {
			continue
		}
		last := queue.waiting.Back().Value.(*Ticket[W])
		if queue.class > ticket.class || last.start > ticket.start {
			return last
		}
	}
	return nil
}

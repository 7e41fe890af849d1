package membership

// gossipQueue holds the changed registers that are still to be transmitted. Those
// with the fewest transmissions come first, and among these the one queued earliest.
type gossipQueue struct {
	current         map[string]queuedUpdate // by member name
	byTransmissions [][]queueEntry          // by number of transmissions; stale entries are skipped
	generation      uint64                  // of the newest entry
}

type queuedUpdate struct {
	generation    uint64
	transmissions int
}

type queueEntry struct {
	name       string
	generation uint64
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{current: make(map[string]queuedUpdate)}
}

func (q *gossipQueue) len() int { return len(q.current) }

// add queues the member's register, replacing a queued one. The given number of
// transmissions counts as already done.
func (q *gossipQueue) add(name string, transmissions int) {
	q.enqueue(name, transmissions)
}

func (q *gossipQueue) enqueue(name string, transmissions int) {
	q.generation++
	q.current[name] = queuedUpdate{generation: q.generation, transmissions: transmissions}
	for len(q.byTransmissions) <= transmissions {
		q.byTransmissions = append(q.byTransmissions, nil)
	}
	q.byTransmissions[transmissions] = append(q.byTransmissions[transmissions], queueEntry{name: name, generation: q.generation})
}

// recordTransmission counts one transmission and removes the member at the limit.
func (q *gossipQueue) recordTransmission(name string, limit int) {
	entry, ok := q.current[name]
	if !ok {
		return
	}
	if entry.transmissions+1 >= limit {
		delete(q.current, name)
		return
	}
	q.enqueue(name, entry.transmissions+1)
}

func (q *gossipQueue) remove(name string) { delete(q.current, name) }

// each calls use for the queued names in order of transmission until it returns
// false. use must not modify the queue.
func (q *gossipQueue) each(use func(name string) bool) {
	for level := range q.byTransmissions {
		q.trimStale(level)
		for _, entry := range q.byTransmissions[level] {
			if q.isCurrent(entry, level) && !use(entry.name) {
				return
			}
		}
	}
}

func (q *gossipQueue) isCurrent(entry queueEntry, level int) bool {
	current, ok := q.current[entry.name]
	return ok && current.generation == entry.generation && current.transmissions == level
}

// trimStale removes stale entries at the head of a level.
func (q *gossipQueue) trimStale(level int) {
	entries := q.byTransmissions[level]
	for len(entries) > 0 && !q.isCurrent(entries[0], level) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		entries = nil
	}
	q.byTransmissions[level] = entries
}

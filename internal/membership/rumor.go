package membership

// rumors is the queue of changed registers still to be transmitted. Those
// transmitted least often come first, and among these the longest ago.
type rumors struct {
	current    map[string]rumor // by member name
	levels     [][]queued       // by transmissions; entries no longer current are skipped
	generation uint64           // of the newest entry
}

type rumor struct {
	generation    uint64
	transmissions int
}

type queued struct {
	name       string
	generation uint64
}

func newRumors() *rumors {
	return &rumors{current: make(map[string]rumor)}
}

func (r *rumors) len() int { return len(r.current) }

// add queues the member's register anew, as if it had been transmitted so often
// already.
func (r *rumors) add(name string, transmissions int) {
	r.place(name, transmissions)
}

func (r *rumors) place(name string, transmissions int) {
	r.generation++
	r.current[name] = rumor{generation: r.generation, transmissions: transmissions}
	for len(r.levels) <= transmissions {
		r.levels = append(r.levels, nil)
	}
	r.levels[transmissions] = append(r.levels[transmissions], queued{name: name, generation: r.generation})
}

// transmitted counts one transmission and ends the rumor at the limit.
func (r *rumors) transmitted(name string, limit int) {
	entry, ok := r.current[name]
	if !ok {
		return
	}
	if entry.transmissions+1 >= limit {
		delete(r.current, name)
		return
	}
	r.place(name, entry.transmissions+1)
}

func (r *rumors) remove(name string) { delete(r.current, name) }

// pick calls use for the names to transmit next, in order, until it returns false.
// use must not change the queue.
func (r *rumors) pick(use func(name string) bool) {
	for level := range r.levels {
		r.clean(level)
		for _, entry := range r.levels[level] {
			if r.valid(entry, level) && !use(entry.name) {
				return
			}
		}
	}
}

func (r *rumors) valid(entry queued, level int) bool {
	current, ok := r.current[entry.name]
	return ok && current.generation == entry.generation && current.transmissions == level
}

// clean drops entries at the head of a level that are no longer current.
func (r *rumors) clean(level int) {
	entries := r.levels[level]
	for len(entries) > 0 && !r.valid(entries[0], level) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		entries = nil
	}
	r.levels[level] = entries
}

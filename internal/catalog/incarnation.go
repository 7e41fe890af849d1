package catalog

import (
	"slices"
	"strconv"
)

// maxDepartures bounds the tracked incarnations that have ended. A restore from a backup loses
// some seconds of writes, in which fewer workers than that leave.
const maxDepartures = 1024

// Incarnation identifies one start of one worker: a restarted worker may record itself under the
// same id. What is known about an earlier incarnation, such as its load, its remaining cold start
// or the requests that it crashed on, does not apply to a later one.
func (i *Instance) Incarnation() string {
	if i.StartedMs == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedMs, 36)
}

// departures tracks how incarnations have ended, in case the store is restored from a backup that
// still lists them as running.
type departures struct {
	leaving map[string]bool // by incarnation: whether it has announced that it leaves, which is final
	order   []string        // oldest first
}

func newDepartures() departures { return departures{leaving: map[string]bool{}} }

// record notes that an incarnation's record was removed or replaced, or that the incarnation is
// leaving.
func (d *departures) record(instance *Instance) {
	name := instance.Incarnation()
	before, known := d.leaving[name]
	d.leaving[name] = before || instance.Draining
	if known {
		return
	}
	d.order = append(d.order, name)
	if len(d.order) > maxDepartures {
		delete(d.leaving, d.order[0])
		d.order = d.order[1:]
	}
}

// remove drops an incarnation whose record exists again, which shows that it runs. An incarnation
// that has announced that it leaves stays.
func (d *departures) remove(instance *Instance) {
	name := instance.Incarnation()
	if leaving, known := d.leaving[name]; !known || leaving {
		return
	}
	delete(d.leaving, name)
	d.order = slices.DeleteFunc(d.order, func(each string) bool { return each == name })
}

// isLeaving reports whether an incarnation has announced that it leaves.
func (d *departures) isLeaving(instance *Instance) bool { return d.leaving[instance.Incarnation()] }

// contains reports whether an incarnation's record was removed or replaced, or the incarnation is
// leaving.
func (d *departures) contains(instance *Instance) bool {
	_, known := d.leaving[instance.Incarnation()]
	return known
}

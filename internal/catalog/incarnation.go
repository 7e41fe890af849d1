package catalog

import (
	"slices"
	"strconv"
)

// maxDepartures bounds the incarnations that are remembered after their end. What a store
// loses that comes back from a copy are some seconds, in which fewer workers leave.
const maxDepartures = 1024

// Incarnation names one start of one worker: a worker that starts again may record itself
// under the id that it had. What is known of the one before, such as its load, its rest from
// the start or requests under which it ended, says nothing of the one after.
func (i *Instance) Incarnation() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 36)
}

// departures remember how incarnations ended, for the time when a store comes back from a
// copy in which they still stand as if nothing had happened.
type departures struct {
	leaving map[string]bool // by incarnation: whether it has said that it leaves, which is final
	order   []string        // oldest first
}

func newDepartures() departures { return departures{leaving: map[string]bool{}} }

// note remembers that an incarnation's record is gone or was replaced, or that it leaves.
func (d *departures) note(instance *Instance) {
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

// forget takes an incarnation whose record is there again for one that lives. One that has
// said that it leaves is remembered.
func (d *departures) forget(instance *Instance) {
	name := instance.Incarnation()
	if leaving, known := d.leaving[name]; !known || leaving {
		return
	}
	delete(d.leaving, name)
	d.order = slices.DeleteFunc(d.order, func(each string) bool { return each == name })
}

// left reports whether an incarnation has said that it leaves.
func (d *departures) left(instance *Instance) bool { return d.leaving[instance.Incarnation()] }

// ended reports whether an incarnation's record was gone or replaced, or it leaves.
func (d *departures) ended(instance *Instance) bool {
	_, known := d.leaving[instance.Incarnation()]
	return known
}

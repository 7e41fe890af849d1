package replicator

import "time"

// Age returns how long ago the store was last known to have nothing newer than what is in
// force at this node, 0 while nothing is. Any goroutine may ask; it does not wait.
func (r *Replicator) Age() time.Duration {
	confirmed := r.confirmed.Load()
	if confirmed == nil {
		return 0
	}
	return r.config.Now().Sub(*confirmed)
}

// noteConfirmed lets Age know when the store last confirmed what is known.
func (r *Replicator) noteConfirmed() {
	confirmed := r.machine.Confirmed()
	if held := r.confirmed.Load(); confirmed.IsZero() || held != nil && held.Equal(confirmed) {
		return
	}
	r.confirmed.Store(&confirmed)
}

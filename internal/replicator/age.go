package replicator

import "time"

// Age returns how long ago the store last confirmed that it had nothing newer than the catalog in
// force at this node, 0 while the catalog is empty. It does not block and is safe for concurrent
// use.
func (r *Replicator) Age() time.Duration {
	confirmed := r.confirmed.Load()
	if confirmed == nil {
		return 0
	}
	return r.config.Now().Sub(*confirmed)
}

// publishConfirmed updates the confirmation time that Age reads.
func (r *Replicator) publishConfirmed() {
	confirmed := r.machine.Confirmed()
	if published := r.confirmed.Load(); confirmed.IsZero() || published != nil && published.Equal(confirmed) {
		return
	}
	r.confirmed.Store(&confirmed)
}

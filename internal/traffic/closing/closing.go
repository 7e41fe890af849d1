// Package closing computes for how long callers' nodes must send no more requests of an
// urgency to a worker that takes fewer than arrive, because it is cold or advertises a
// limit. Each rejected request extends that time by the interval at which the worker takes
// requests, so that few retries are rejected again. The package is pure: the caller passes
// the time.
package closing

import "time"

// Urgency orders requests while a worker takes fewer than arrive: lower numbers are served
// first.
type Urgency int

// The urgencies. The first two are for tenants of the highest priority and for callers without
// a tenant, the others for all other tenants. Of each pair, the first is for routes with the
// priority of interactive requests or a higher one.
const (
	Urgent Urgency = iota
	NonUrgent
	LowerTenantUrgent
	LowerTenantNonUrgent
	Urgencies int = iota // number of urgencies
)

// MaxPause is the maximum time for which callers' nodes are asked to send no more requests.
const MaxPause = time.Second

// Pauses holds, by urgency, the time until which callers' nodes must send no more
// requests. The zero value stops none. It is not safe for concurrent use.
type Pauses [Urgencies]time.Time

// Extend records a rejected request at a worker that takes one request per interval, and
// extends the time of its urgency by the interval, up to MaxPause from now.
func (b *Pauses) Extend(urgency Urgency, interval time.Duration, now time.Time) {
	until := &b[urgency]
	if until.Before(now) {
		*until = now
	}
	*until = until.Add(interval)
	if latest := now.Add(MaxPause); until.After(latest) {
		*until = latest
	}
}

// Remaining is the time for which a node that gets a response now must send no more requests of
// an urgency, 0 if it may send them.
func (b *Pauses) Remaining(urgency Urgency, now time.Time) time.Duration {
	return max(0, b[urgency].Sub(now))
}

// Package quota holds tenants to the requests that they may make over the whole mesh. A
// tenant's limit is cut into stripes, each a token bucket at one node; nodes take tokens
// from stripes by short questions. It is pure: events in, effects out, time is told.
package quota

import (
	"math"
	"time"
)

// Settings are the bounds that hold for all tenants: in any Window, a tenant may run at
// most (rate x Window + burst) x (1 + Overage) + Slack requests.
type Settings struct {
	Window  time.Duration
	Overage float64 // part of the limit
	Slack   float64 // requests
}

// Parts of what Settings allow beyond the limit. docs/design/quotas.md adds them up.
const (
	// lifeOfWindow is for how long a token may be in a node's hand or in a request that may
	// give it back, as part of the window: 400 ms of 5 s.
	lifeOfWindow = 0.08
	// stripeSlack is the part of the slack by which stripes hold more than the burst, so that
	// those of a tenant of two requests a second hold two tokens and more.
	stripeSlack = 0.5
	// shareSlack and shareOverage are the parts that nodes spend which reach no stripe.
	shareSlack   = 0.5
	shareOverage = 0.12
)

// Number of stripes of a tenant.
const (
	// leastStripes leaves three of four when one node is gone.
	leastStripes = 4
	mostStripes  = 16
	// stripeRate is the rate, in requests a second, that one stripe is to serve at most, so
	// that no node answers for much more than a request of its own.
	stripeRate = 16
	// leastTokens is what a stripe holds at least: with less than two, every second request
	// that comes to it is refused.
	leastTokens = 2
)

// life is for how long a token may be in hand.
func (s Settings) life() time.Duration { return time.Duration(lifeOfWindow * float64(s.Window)) }

// capacity is what all stripes of a tenant hold together, in tokens.
func (s Settings) capacity(burst float64) float64 { return burst + stripeSlack*s.Slack }

// share is what all nodes that reach no stripe may spend together in a window.
func (s Settings) share(rate, burst float64) int {
	limit := rate*s.Window.Seconds() + burst
	return int(shareOverage*s.Overage*limit + shareSlack*s.Slack)
}

// stripes is into how many stripes a tenant's limit is cut: as many in each zone, if the
// nodes suffice.
func (s Settings) stripes(rate, burst float64, zones, hosts int) int {
	wanted := min(mostStripes, max(leastStripes, int(math.Ceil(rate/stripeRate))))
	if zones > 0 && zones < wanted {
		wanted = (wanted + zones - 1) / zones * zones
	}
	filled := max(1, int(s.capacity(burst)/leastTokens))
	return min(wanted, hosts, filled)
}

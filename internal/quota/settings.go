// Package quota limits the requests of each tenant over the whole mesh. A tenant's limit is
// split into stripes, each a token bucket on one node; nodes obtain tokens from stripes by
// short queries. The state machine is pure: events in, effects out, with the time passed in.
package quota

import (
	"math"
	"time"
)

// Settings are bounds for all tenants: in any Window, a tenant may run at most (rate x Window +
// burst) x (1 + Overage) + Slack requests.
type Settings struct {
	Window  time.Duration
	Overage float64 // fraction of the limit
	Slack   float64 // requests
}

// Shares of the excess that Settings allow beyond the limit. docs/design/quotas.md adds them
// up.
const (
	// tokenLifeShare is the lifetime of a token, unused on a node or in a request that may
	// return it, as a fraction of the window: 400 ms of 5 s.
	tokenLifeShare = 0.08
	// stripeSlack is the fraction of the slack that is added to the capacity of the stripes, so
	// that the stripes of a tenant with two requests a second hold at least two tokens.
	stripeSlack = 0.5
	// fallbackSlack and fallbackOverage are the fractions spent by nodes that reach no stripe.
	fallbackSlack   = 0.5
	fallbackOverage = 0.12
)

// Bounds on the number of stripes of a tenant.
const (
	// minStripes leaves three of four stripes when one node is down.
	minStripes = 4
	maxStripes = 16
	// maxStripeRate is the maximum rate of one stripe, in requests a second, so that no node
	// replies to many more queries than it has requests of its own.
	maxStripeRate = 16
	// minStripeTokens is the minimum capacity of a stripe: with less than two tokens, every
	// second request that comes to it is rejected.
	minStripeTokens = 2
)

// tokenLife returns the time within which a granted token must be used or returned.
func (s Settings) tokenLife() time.Duration { return time.Duration(tokenLifeShare * float64(s.Window)) }

// capacity returns the capacity of all stripes of a tenant together, in tokens.
func (s Settings) capacity(burst float64) float64 { return burst + stripeSlack*s.Slack }

// fallbackTokens returns the tokens that all nodes that reach no stripe may spend together in a
// window.
func (s Settings) fallbackTokens(rate, burst float64) int {
	limit := rate*s.Window.Seconds() + burst
	return int(fallbackOverage*s.Overage*limit + fallbackSlack*s.Slack)
}

// stripes returns the number of a tenant's stripes: the same number in each zone if there are
// enough nodes.
func (s Settings) stripes(rate, burst float64, zones, hosts int) int {
	count := min(maxStripes, max(minStripes, int(math.Ceil(rate/maxStripeRate))))
	if zones > 0 && zones < count {
		count = (count + zones - 1) / zones * zones
	}
	fillable := max(1, int(s.capacity(burst)/minStripeTokens))
	return min(count, hosts, fillable)
}

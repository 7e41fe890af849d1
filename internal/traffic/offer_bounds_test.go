package traffic

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The slower the link, the fewer nodes a request is offered to.
func TestOfferBoundsFollowLinkRate(t *testing.T) {
	must.Eq(t, offerBounds{total: 3, crossZone: 1}, boundOffers(5))
	must.Eq(t, offerBounds{total: 6, crossZone: 3}, boundOffers(10))
	must.Eq(t, offerBounds{total: 10, crossZone: 6}, boundOffers(20))
	must.Eq(t, offerBounds{total: 10, crossZone: 6}, boundOffers(1000))
	must.Eq(t, offerBounds{total: 10, crossZone: 6}, boundOffers(0))
}

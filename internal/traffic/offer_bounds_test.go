package traffic

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The slower the link, the fewer nodes a request is offered to.
func TestOffersFollowTheLink(t *testing.T) {
	must.Eq(t, offerBounds{most: 3, crossing: 1}, boundOffers(5))
	must.Eq(t, offerBounds{most: 6, crossing: 3}, boundOffers(10))
	must.Eq(t, offerBounds{most: 10, crossing: 6}, boundOffers(20))
	must.Eq(t, offerBounds{most: 10, crossing: 6}, boundOffers(1000))
	must.Eq(t, offerBounds{most: 10, crossing: 6}, boundOffers(0))
}

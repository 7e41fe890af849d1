package balance

import (
	"math"
	"time"
)

// rejectPrice is the price of a request that a worker rejects, in parts of its worth: it is
// sent again out of a budget that is short, or its caller is refused and may come back.
const rejectPrice = 0.5

// rejectsLife is over which time a told share of rejections counts a third: as long as the
// share is measured over, so that a worker that nobody asks is tried again.
const rejectsLife = 2 * time.Second

// rejection is the price of what the endpoint's worker rejects, as its node told.
func (s *state) rejection(now time.Time) float64 {
	if s.load.Rejects == 0 {
		return 0
	}
	age := now.Sub(s.loadAt)
	return rejectPrice * s.load.Rejects * math.Exp(-float64(age)/float64(rejectsLife))
}

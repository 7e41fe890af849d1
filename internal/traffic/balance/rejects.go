package balance

import (
	"math"
	"time"
)

// rejectPrice is the price of a request that a worker rejects, relative to its value: a
// retry uses up a small budget, or the caller is rejected and may retry.
const rejectPrice = 0.5

// rejectsDecay is the time constant at which a reported share of rejections decays, similar
// to the time over which the share is measured, so that a worker that gets no requests is
// tried again.
const rejectsDecay = 2 * time.Second

// rejectionPrice is the price of the requests that the endpoint's worker rejects, by its
// node's last report.
func (s *endpointState) rejectionPrice(now time.Time) float64 {
	if s.load.RejectShare == 0 {
		return 0
	}
	age := now.Sub(s.loadAt)
	return rejectPrice * s.load.RejectShare * math.Exp(-float64(age)/float64(rejectsDecay))
}

package admission

import (
	"math"
	"time"
)

// RejectionRate measures the share of requests that a worker rejects, over an exponentially
// decaying window. The caller passes the time. It is not safe for concurrent use.
type RejectionRate struct {
	accepted, rejected float64 // exponentially decayed counts
	updated            time.Time
}

const (
	// rejectsDecay is the time constant of the decay: after it, a request counts 1/e. A
	// worker with 6 slots and runs of 50 ms gets about 100 requests in it.
	rejectsDecay = time.Second

	// rejectsPrior is a number of accepted requests that is always assumed, so that a
	// single rejection without other requests gives a share of 0.25 instead of 1.
	rejectsPrior = 3

	// minRejectShare is the smallest share that is reported; workers reject less than that
	// in normal operation.
	minRejectShare = 0.05
)

// Record records a request and whether the worker rejected it.
func (r *RejectionRate) Record(rejected bool, now time.Time) {
	r.decay(now)
	if rejected {
		r.rejected++
		return
	}
	r.accepted++
}

// Share returns the share of rejected requests, 0 to 1; shares below minRejectShare are
// returned as 0.
func (r *RejectionRate) Share(now time.Time) float64 {
	if r.rejected == 0 {
		return 0
	}
	r.decay(now)
	share := r.rejected / (r.rejected + r.accepted + rejectsPrior)
	if share < minRejectShare {
		return 0
	}
	return share
}

func (r *RejectionRate) decay(now time.Time) {
	part := math.Exp(-float64(now.Sub(r.updated)) / float64(rejectsDecay))
	r.accepted *= part
	r.rejected *= part
	r.updated = now
}

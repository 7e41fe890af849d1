package admission

import (
	"math"
	"time"
)

// Rejects measures which share of the requests that reach the worker it rejects. It is
// pure: the caller passes the time.
type Rejects struct {
	taken, rejected float64 // in the last rejectsMemory, older ones fading
	at              time.Time
}

const (
	// rejectsMemory is over which time a request counts a third: a worker of six slots and
	// runs of 50 ms sees a hundred in it.
	rejectsMemory = time.Second

	// rejectsPrior is how many taken requests are assumed: one rejection among none tells
	// of a quarter, not of all.
	rejectsPrior = 3

	// leastRejects is the share from which it is told: less is what workers do now and then.
	leastRejects = 0.05
)

// Note takes in whether the worker rejected a request.
func (r *Rejects) Note(rejected bool, now time.Time) {
	r.fade(now)
	if rejected {
		r.rejected++
		return
	}
	r.taken++
}

// Share returns the share that the worker rejects, 0 where it is too small to tell.
func (r *Rejects) Share(now time.Time) float64 {
	if r.rejected == 0 {
		return 0
	}
	r.fade(now)
	share := r.rejected / (r.rejected + r.taken + rejectsPrior)
	if share < leastRejects {
		return 0
	}
	return share
}

func (r *Rejects) fade(now time.Time) {
	part := math.Exp(-float64(now.Sub(r.at)) / float64(rejectsMemory))
	r.taken *= part
	r.rejected *= part
	r.at = now
}

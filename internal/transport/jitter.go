package transport

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter draws random waits for any goroutine.
type jitter struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// backoff returns the wait before the next try after a number of failures:
// full jitter, that is uniform between zero and an exponentially growing bound
// (Brooker, "Exponential Backoff And Jitter", 2015).
func (j *jitter) backoff(base, most time.Duration, failures int) time.Duration {
	bound := most
	if shift := failures - 1; shift < 16 {
		bound = min(most, base<<max(shift, 0))
	}
	return j.below(bound)
}

// around returns a wait between half and one and a half of the middle.
func (j *jitter) around(middle time.Duration) time.Duration {
	return middle/2 + j.below(middle)
}

// below returns a wait from zero to the bound.
func (j *jitter) below(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Duration(j.random.Int64N(int64(bound) + 1))
}

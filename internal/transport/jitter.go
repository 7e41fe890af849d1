package transport

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter draws random durations. It is safe for concurrent use.
type jitter struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// backoff returns the wait before the next attempt after a number of consecutive
// failures. It uses full jitter: the wait is uniform between zero and a bound that
// grows exponentially from base to maximum (Brooker, "Exponential Backoff And
// Jitter", 2015).
func (j *jitter) backoff(base, maximum time.Duration, failures int) time.Duration {
	bound := maximum
	if shift := failures - 1; shift < 16 {
		bound = min(maximum, base<<max(shift, 0))
	}
	return j.upTo(bound)
}

// around returns a wait between 0.5 and 1.5 times middle, uniformly distributed.
func (j *jitter) around(middle time.Duration) time.Duration {
	return middle/2 + j.upTo(middle)
}

// upTo returns a wait between zero and bound, uniformly distributed.
func (j *jitter) upTo(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Duration(j.random.Int64N(int64(bound) + 1))
}

package traffic

import (
	"sync"
	"time"

	"sliphead/internal/traffic/retryafter"
)

// returns schedules the retries of refused callers for each service. It is safe for concurrent
// use.
type returns struct {
	mutex     sync.Mutex
	byService map[string]*retryafter.Schedule // by service
}

// maxRetrySchedules bounds the number of services that are tracked: twice the number of routes in
// the largest configuration seen. Beyond it all schedules are dropped.
const maxRetrySchedules = 4096

func newReturns() *returns {
	return &returns{byService: map[string]*retryafter.Schedule{}}
}

// getOrCreate returns the entry of a name, and creates it if there is none.
func getOrCreate[V any](entries map[string]*V, name string) *V {
	found := entries[name]
	if found == nil {
		if len(entries) >= maxRetrySchedules {
			clear(entries)
		}
		found = new(V)
		entries[name] = found
	}
	return found
}

// answered records a response of a service.
func (r *returns) answered(service string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	getOrCreate(r.byService, service).Answered(now)
}

// comeBack returns the delay after which a refused request is to be retried: at least the
// forecast wait and at most the given maximum, by the priority of its tenant.
func (r *returns) comeBack(service string, priority int, forecast, limit time.Duration, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return getOrCreate(r.byService, service).Book(priority, forecast, limit, now)
}

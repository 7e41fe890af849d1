package traffic

import (
	"sync"
	"time"

	"sliphead/internal/traffic/retryafter"
)

// retrySchedules schedules the retries of refused callers for each service. It is safe for
// concurrent use.
type retrySchedules struct {
	mutex     sync.Mutex
	byService map[string]*retryafter.Schedule
}

// maxRetrySchedules bounds the number of services that are tracked: twice the number of routes in
// the largest configuration seen. Beyond it all schedules are dropped.
const maxRetrySchedules = 4096

func newRetrySchedules() *retrySchedules {
	return &retrySchedules{byService: map[string]*retryafter.Schedule{}}
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

// recordAnswered records a response of a service.
func (r *retrySchedules) recordAnswered(service string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	getOrCreate(r.byService, service).RecordResponse(now)
}

// retryDelay returns the delay after which a refused request is to be retried: at least the
// forecast wait and at most the given maximum, by the priority of its tenant.
func (r *retrySchedules) retryDelay(service string, priority int, forecast, limit time.Duration, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return getOrCreate(r.byService, service).NextDelay(priority, forecast, limit, now)
}

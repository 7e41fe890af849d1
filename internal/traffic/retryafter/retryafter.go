// Package retryafter computes when the caller of a rejected request should retry. It is pure:
// the caller passes the time.
//
// A caller retries at most once, so a second rejection is final. Therefore a retried request
// may get a late response, and retries are spread out at the rate at which the service
// responds to this node, so that they do not all arrive at once in the overload that caused
// the rejections.
package retryafter

import (
	"slices"
	"time"
)

// Schedule spreads the retries of one node's rejected requests over the capacity of one
// service. It is not safe for concurrent use.
type Schedule struct {
	responses   float64     // in the last rateWindow, with decay
	updated     time.Time   // when responses was last decayed
	nextRetries []nextRetry // by priority
}

// nextRetry is the earliest time at which the next rejected request of a priority may
// retry.
type nextRetry struct {
	priority int
	at       time.Time
}

// rateWindow is the time over which the rate of responses is measured. Bursts last a few
// seconds.
const rateWindow = time.Second

// RecordResponse records a response of the service.
func (s *Schedule) RecordResponse(now time.Time) {
	s.decay(now)
	s.responses++
}

// decay reduces the weight of older responses.
func (s *Schedule) decay(now time.Time) {
	passed := now.Sub(s.updated)
	s.updated = now
	if passed >= rateWindow {
		s.responses = 0
		return
	}
	s.responses *= 1 - float64(passed)/float64(rateWindow)
}

// interval is the average time between two responses of the service, rateWindow if there
// were none.
func (s *Schedule) interval(now time.Time) time.Duration {
	s.decay(now)
	return time.Duration(float64(rateWindow) / max(1, s.responses))
}

// NextDelay returns the delay after which a rejected request should retry: at least the wait
// that the service's nodes expect, after the previously rejected requests of its own and
// higher priorities, and at most maxDelay. Priority 0 is the highest.
func (s *Schedule) NextDelay(priority int, expectedWait, maxDelay time.Duration, now time.Time) time.Duration {
	at := s.after(priority)
	if earliest := now.Add(expectedWait); at.Before(earliest) {
		at = earliest
	}
	latest := now.Add(maxDelay)
	if at.After(latest) {
		return maxDelay // no retry comes later, and the schedule stays bounded
	}
	s.nextRetries = slices.DeleteFunc(s.nextRetries, func(retry nextRetry) bool { return retry.at.Before(now) })
	s.reserve(priority, at, s.interval(now), latest)
	return at.Sub(now)
}

// after returns the earliest time for a retry that follows all scheduled ones of the
// priority and of higher ones.
func (s *Schedule) after(priority int) time.Time {
	var latest time.Time
	for _, retry := range s.nextRetries {
		if retry.priority <= priority && retry.at.After(latest) {
			latest = retry.at
		}
	}
	return latest
}

// reserve schedules a retry: the next one of its priority follows an interval later, and
// pending ones of lower priorities are delayed by an interval, up to the latest time.
func (s *Schedule) reserve(priority int, at time.Time, interval time.Duration, latest time.Time) {
	s.nextRetries = slices.DeleteFunc(s.nextRetries, func(retry nextRetry) bool { return retry.priority == priority })
	for index := range s.nextRetries {
		retry := &s.nextRetries[index]
		if later := retry.at.Add(interval); retry.priority > priority && !later.After(latest) {
			retry.at = later
		}
	}
	s.nextRetries = append(s.nextRetries, nextRetry{priority, at.Add(interval)})
}

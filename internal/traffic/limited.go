package traffic

import (
	"time"

	"sliphead/internal/traffic/workerlimit"
)

// limitHeader on a request between nodes carries the worker's limit as the caller's node has
// received it in responses, since the worker's node may have restarted and lost it.
const limitHeader = internalPrefix + "Limit"

// applyLimit limits the queue to the request rate that the worker reports. All requests to the
// worker pass this queue, whatever their origin. The caller holds the mutex.
func (a *admitter) applyLimit(now time.Time) {
	if limit := a.report.limit.Current(); limit.Limited {
		a.notify(a.queue.SetRateLimit(float64(limit.Rate), now))
	} else {
		a.pauses = [len(a.pauses)]time.Time{}
		a.notify(a.queue.RemoveRateLimit(now))
	}
	a.scheduleFill(now)
}

// adoptLimit adopts the worker's limit that the caller's node has received, as long as this
// node has received none. The caller holds the mutex.
func (a *admitter) adoptLimit(x *exchange, now time.Time) {
	if a.report.limit.Adopt(x.limitReported, now) {
		a.applyLimit(now)
	}
}

// refuseLimited returns the refusal of a request beyond the worker's limit. It also extends the
// time for which callers' nodes are asked to send no more requests of that urgency, so that few
// requests are sent to a node only to be refused there. The caller holds the mutex.
func (a *admitter) refuseLimited(x *exchange, wait time.Duration, now time.Time) result {
	a.pauses.Extend(x.class.urgency(), a.queue.GrantInterval(), now)
	return refuse(causeLimit, wait, "send it again later, the worker is in need and takes few requests")
}

// scheduleFill sets the timer for the next queued request that waits for the rate limit rather
// than for a slot. The caller holds the mutex.
func (a *admitter) scheduleFill(now time.Time) {
	wait := a.queue.NextGrantWait(now)
	switch {
	case wait <= 0:
	case a.fillTimer == nil:
		a.fillTimer = time.AfterFunc(wait, a.fillQueue)
	default:
		a.fillTimer.Reset(wait)
	}
}

func (a *admitter) fillQueue() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.notify(a.queue.Fill(now))
	a.scheduleFill(now)
}

// parseReportedLimit parses the limit that the caller's node has received. An invalid value
// counts as none.
func parseReportedLimit(values []string) workerlimit.Advertised {
	limit, err := workerlimit.Parse(values)
	if err != nil {
		return workerlimit.Advertised{} // nodes send only values that Parse accepts, so a node did not write it
	}
	return limit
}

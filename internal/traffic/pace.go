package traffic

import (
	"time"

	"sliphead/internal/sleep"
	"sliphead/internal/traffic/admission"
)

// paceBody transfers long bodies one after the other at the rate of the machine's network link,
// before their requests take a slot. A request whose body would arrive too late for its latency
// objective is refused immediately with outcome not-run.
func (in *Inbound) paceBody(next stage) stage {
	return func(x *exchange) result {
		length := x.request.ContentLength
		if length < 0 {
			length = maxWholeBody // only longer bodies come in chunks
		}
		if !x.bodyAwaited || length <= directBody {
			return next(x)
		}
		wait, refused := in.admitter.reserveBody(x, length, time.Now())
		if refused != nil {
			return *refused
		}
		if wait > 0 && !x.waitForLink(wait) {
			in.admitter.releaseBody(length)
			return refuse(causeDeadline, time.Second, "send it again with more time")
		}
		ended := next(x)
		if !x.body.present {
			in.admitter.releaseBody(length)
		}
		return ended
	}
}

// waitForLink acknowledges the request to the caller's node and waits until the link is free
// for its body. It returns false if the request ends first.
func (x *exchange) waitForLink(wait time.Duration) bool {
	x.sendAck()
	return sleep.For(x.context, wait)
}

// reserveBody reserves link time for a body of length bytes and returns the wait until then, or
// refuses the request.
func (a *admitter) reserveBody(x *exchange, length int64, now time.Time) (time.Duration, *result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	wait := a.link.Wait(now)
	if refused := a.refuseLateBody(x, wait, now); refused != nil {
		return 0, refused
	}
	return a.link.Schedule(length, now), nil
}

// refuseLateBody returns the refusal of a request whose body would arrive too late, or nil if
// the request may wait. A retry later is then more useful than a late response now.
func (a *admitter) refuseLateBody(x *exchange, wait time.Duration, now time.Time) *result {
	_, run := a.queue.Forecast(a.classOf(x), x.route.Name, now)
	if wait == 0 || x.class.objective <= 0 || wait <= (x.class.objective-run)/admission.SpareTimeDivisor {
		return nil
	}
	refused := refuse(causeQueue, wait, "send it again later, the link to the worker is full")
	return &refused
}

// RecordReceived records a number of bytes that arrived on the machine's link without a
// reservation, so that long bodies wait for these as well. It is safe for concurrent use.
func (in *Inbound) RecordReceived(bytes int64) {
	in.admitter.mutex.Lock()
	defer in.admitter.mutex.Unlock()
	in.admitter.link.Schedule(bytes, time.Now())
}

// recordBody records a caller's long body at the inbound handler of the same node, which shares
// the link.
func (out *Outbound) recordBody(next stage) stage {
	return func(x *exchange) result {
		if out.local != nil && x.body.length > directBody {
			out.local.RecordReceived(x.body.length)
		}
		return next(x)
	}
}

// releaseBody returns the link time that was reserved for a body of length bytes.
func (a *admitter) releaseBody(length int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.link.Release(length)
}

// linkWait returns how long the body of another request like this one would wait for the link.
func (a *admitter) linkWait(x *exchange, now time.Time) time.Duration {
	if x.request.ContentLength <= directBody {
		return 0
	}
	return a.link.Wait(now)
}

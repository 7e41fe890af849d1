package traffic

import (
	"time"

	"sliphead/internal/sleep"
	"sliphead/internal/traffic/admission"
)

// pace lets long bodies come one behind the other, as the machine's link carries
// them, before they take a slot. A request whose body would come too late for its
// objective is refused at once, as not run.
func (in *Inbound) pace(next stage) stage {
	return func(x *exchange) result {
		length := x.request.ContentLength
		if !x.bodyAwaited || length <= directBody {
			return next(x)
		}
		wait, refused := in.admitter.bookBody(x, length, time.Now())
		if refused != nil {
			return *refused
		}
		if wait > 0 && !x.waitForLink(wait) {
			in.admitter.returnBody(length)
			return refuse(causeDeadline, time.Second, "send it again with more time")
		}
		ended := next(x)
		if !x.body.present {
			in.admitter.returnBody(length)
		}
		return ended
	}
}

// waitForLink tells the caller's node that the request has come and waits for its
// body's turn. It reports false when the request ends before.
func (x *exchange) waitForLink(wait time.Duration) bool {
	x.sign()
	return sleep.For(x.context, wait)
}

// bookBody books the transfer of a body, or refuses the request.
func (a *admitter) bookBody(x *exchange, length int64, now time.Time) (time.Duration, *result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	wait := a.link.Wait(now)
	if refused := a.refusesBody(x, wait, now); refused != nil {
		return 0, refused
	}
	return a.link.Book(length, now), nil
}

// refusesBody is the refusal of a request whose body would come too late, nil if it
// is to wait: one that comes back later is then worth more than a late answer now.
func (a *admitter) refusesBody(x *exchange, wait time.Duration, now time.Time) *result {
	_, run := a.queue.Forecast(a.classOf(x), x.route.Name, now)
	if wait == 0 || x.class.objective <= 0 || wait <= (x.class.objective-run)/admission.WaitShare {
		return nil
	}
	refused := refuse(causeQueue, wait, "send it again later, the link to the worker is full")
	return &refused
}

// Received tells that bytes have come by the machine's link that nobody booked: long
// bodies wait for them as well.
func (in *Inbound) Received(bytes int64) {
	in.admitter.mutex.Lock()
	defer in.admitter.mutex.Unlock()
	in.admitter.link.Book(bytes, time.Now())
}

// noteBody tells the handler beside this one that a caller's long body has come by the
// link that they share.
func (out *Outbound) noteBody(next stage) stage {
	return func(x *exchange) result {
		if out.local != nil && x.body.length > directBody {
			out.local.Received(x.body.length)
		}
		return next(x)
	}
}

func (a *admitter) returnBody(length int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.link.Return(length)
}

// linkWait is how long a request's body would wait, were another one like it to come.
func (a *admitter) linkWait(x *exchange, now time.Time) time.Duration {
	if x.request.ContentLength <= directBody {
		return 0
	}
	return a.link.Wait(now)
}

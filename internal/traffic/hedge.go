package traffic

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// openTry is one try at another node that runs beside its dispatch. When the node
// gives no sign in time, the dispatch goes on and leaves the try open: a node that
// is slow, or whose link is queued, may still be the first to answer.
type openTry struct {
	endpoint snapshot.Endpoint
	silent   chan struct{} // closed when there was no sign in time
	signed   atomic.Bool   // whether there was one, be it late
	cancel   context.CancelFunc

	ended   chan struct{} // closed once the fields below are set
	got     *answer
	seen    balance.Observation
	failure *result
}

// start makes a try and returns at once. Its end is told on d.ended as well.
func (d *dispatch) start(endpoint snapshot.Endpoint) *openTry {
	began := &openTry{endpoint: endpoint, silent: make(chan struct{}), ended: make(chan struct{})}
	own := *d.x
	own.context, began.cancel = context.WithCancel(d.x.context)
	own.onSilence = func() { close(began.silent) }
	own.onSign = func(time.Duration) { began.signed.Store(true) }
	go func() {
		began.got, began.seen, began.failure = d.out.offer(&own, endpoint)
		close(began.ended)
		d.ended <- began
	}()
	return began
}

// tryOpenly makes a try and waits until it has ended, or its node is silent, or an
// earlier try is answered. It reports whether the request has ended.
func (d *dispatch) tryOpenly(target snapshot.Target, endpoint snapshot.Endpoint) (result, bool) {
	current := d.start(endpoint)
	d.open = append(d.open, current)
	for {
		select {
		case over := <-d.ended:
			d.forget(over)
			if over == current {
				return d.conclude(target, endpoint, over.got, over.seen, over.failure)
			}
			if over.failure == nil && d.better(over.got) {
				d.out.chooser.release(endpoint)
				return over.got.pass(d.x), true
			}
		case <-current.silent:
			silent := silence(true)
			seen := balance.Observation{Failed: true, Unreachable: true}
			return d.conclude(target, endpoint, nil, seen, &silent)
		}
	}
}

// better reports whether an earlier try's answer counts at once. A worker's own
// failure is kept back while the try that came after it may do better.
func (d *dispatch) better(got *answer) bool {
	if !got.isWhole || got.response.StatusCode < http.StatusInternalServerError {
		return true
	}
	d.answered = got
	return false
}

// forget takes a try that has ended off the open ones.
func (d *dispatch) forget(over *openTry) {
	for index, held := range d.open {
		if held == over {
			d.open = append(d.open[:index], d.open[index+1:]...)
			return
		}
	}
}

// awaitOpen waits for the tries that are still open, where no other is to follow:
// for half of the time left, and for all of it where a worker may be at one. It
// returns the first answer, nil if there is none.
func (d *dispatch) awaitOpen() *answer {
	timer := time.NewTimer(time.Until(d.x.deadline) / 2)
	defer timer.Stop()
	for len(d.open) > 0 {
		select {
		case over := <-d.ended:
			d.forget(over)
			if over.failure == nil {
				return over.got
			}
		case <-timer.C:
			if !d.maybeAtWork() {
				return nil
			}
		case <-d.x.context.Done():
			return nil
		}
	}
	return nil
}

// maybeAtWork reports whether an open try's node has given a sign, or this node
// stops: then giving the try up would cut a worker off.
func (d *dispatch) maybeAtWork() bool {
	return d.out.leaving() || slices.ContainsFunc(d.open, func(held *openTry) bool { return held.signed.Load() })
}

// close ends the tries that are still open; their answers are not wanted.
func (d *dispatch) close() {
	for _, held := range d.open {
		held.cancel()
		go held.discard()
	}
}

func (t *openTry) discard() {
	<-t.ended
	if t.got != nil {
		_ = t.got.response.Body.Close()
	}
}

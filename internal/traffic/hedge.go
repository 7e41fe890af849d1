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

// pendingAttempt is an attempt at another node that runs concurrently with its dispatch. When
// the node does not acknowledge it in time, the dispatch continues and leaves the attempt
// pending: a node that is slow, or whose link is queued, may still be the first to respond.
type pendingAttempt struct {
	endpoint    snapshot.Endpoint
	ackTimedOut chan struct{} // closed when no acknowledgement came in time
	acked       atomic.Bool   // whether the node has acknowledged the request, even late
	cancel      context.CancelFunc

	done     chan struct{} // closed once the fields below are set
	got      *answer
	observed balance.Observation
	failure  *result
}

// startAttempt starts an attempt and returns immediately. Its end is also sent on d.finished.
func (d *dispatch) startAttempt(endpoint snapshot.Endpoint) *pendingAttempt {
	started := &pendingAttempt{endpoint: endpoint, ackTimedOut: make(chan struct{}), done: make(chan struct{})}
	attempt := *d.x
	attempt.context, started.cancel = context.WithCancel(d.x.context)
	attempt.onAckTimeout = func() { close(started.ackTimedOut) }
	attempt.onAck = func(time.Duration) { started.acked.Store(true) }
	go func() {
		started.got, started.observed, started.failure = d.out.offer(&attempt, endpoint)
		close(started.done)
		d.finished <- started
	}()
	return started
}

// tryHedged makes an attempt and waits until it has ended, its acknowledgement is overdue, or
// an earlier attempt has a response. It reports whether the request has ended.
func (d *dispatch) tryHedged(target snapshot.Target, endpoint snapshot.Endpoint) (result, bool) {
	current := d.startAttempt(endpoint)
	d.pending = append(d.pending, current)
	for {
		select {
		case finished := <-d.finished:
			d.removePending(finished)
			if finished == current {
				return d.conclude(target, endpoint, finished.got, finished.observed, finished.failure)
			}
			if finished.failure == nil && d.acceptEarlier(finished.got) {
				d.out.chooser.release(endpoint)
				return finished.got.pass(d.x), true
			}
		case <-current.ackTimedOut:
			failure := unresponsive(true)
			observed := balance.Observation{Failed: true, Unreachable: true}
			return d.conclude(target, endpoint, nil, observed, &failure)
		}
	}
}

// acceptEarlier reports whether the response of an earlier attempt is forwarded immediately. An
// error response of a worker is retained while the attempt that followed it may do better.
func (d *dispatch) acceptEarlier(earlier *answer) bool {
	if !earlier.isWhole || earlier.response.StatusCode < http.StatusInternalServerError {
		return true
	}
	d.failedAnswer = earlier
	return false
}

// removePending removes an attempt that has ended from the pending ones.
func (d *dispatch) removePending(finished *pendingAttempt) {
	for index, attempt := range d.pending {
		if attempt == finished {
			d.pending = append(d.pending[:index], d.pending[index+1:]...)
			return
		}
	}
}

// awaitPending waits for the pending attempts when no other is to follow: for half of the time
// left, or until the deadline if a worker may be running one. It returns the first response,
// nil if there is none.
func (d *dispatch) awaitPending() *answer {
	timer := time.NewTimer(time.Until(d.x.deadline) / 2)
	defer timer.Stop()
	for len(d.pending) > 0 {
		select {
		case finished := <-d.finished:
			d.removePending(finished)
			if finished.failure == nil {
				return finished.got
			}
		case <-timer.C:
			if !d.mayBeRunning() {
				return nil
			}
		case <-d.x.context.Done():
			return nil
		}
	}
	return nil
}

// mayBeRunning reports whether the node of a pending attempt has acknowledged it, or this node
// is stopping: abandoning the attempt would then interrupt a worker.
func (d *dispatch) mayBeRunning() bool {
	return d.out.stopping() || slices.ContainsFunc(d.pending, func(attempt *pendingAttempt) bool { return attempt.acked.Load() })
}

// close cancels the pending attempts and discards their responses.
func (d *dispatch) close() {
	for _, attempt := range d.pending {
		attempt.cancel()
		go attempt.discard()
	}
}

func (t *pendingAttempt) discard() {
	<-t.done
	if t.got != nil {
		_ = t.got.response.Body.Close()
	}
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
)

// The acknowledgement timeout is longer for a node whose acknowledgements typically take long,
// up to a third of the time left, and unchanged for a fast one.
func TestAckTimeoutFollowsTypicalDelay(t *testing.T) {
	delays := newAckDelays()
	must.Zero(t, delays.typical("slow"))
	for range 50 {
		delays.observe("slow", 150*time.Millisecond)
		delays.observe("fast", 2*time.Millisecond)
	}
	x := &exchange{deadline: time.Now().Add(600 * time.Millisecond)}
	must.Between(t, 150*time.Millisecond, x.ackTimeout(delays.typical("slow")), 170*time.Millisecond)
	must.Between(t, 90*time.Millisecond, x.ackTimeout(delays.typical("fast")), 100*time.Millisecond)
	delays.observe("dead", 10*time.Second)
	must.Between(t, 190*time.Millisecond, x.ackTimeout(delays.typical("dead")), 200*time.Millisecond)
}

// busyAdmitter returns the admitter of a worker whose only slot is taken by a request with the
// given expected run time.
func busyAdmitter(run time.Duration) *admitter {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 16})
	now := time.Now()
	arrival := admission.Arrival[*exchange]{Class: admission.Interactive, Kind: "order", Deadline: now.Add(time.Minute), Waiter: &exchange{}}
	ticket, _ := a.queue.Admit(arrival, now.Add(-run))
	a.queue.Done(ticket, now)
	a.queue.Admit(arrival, now)
	return a
}

// A request that is expected to get a slot here before it could reach another endpoint is
// queued, even if the caller's node has a seemingly free alternative.
func TestShortWaitQueuesDespiteAlternative(t *testing.T) {
	a := busyAdmitter(20 * time.Millisecond)
	x := &exchange{
		fromNode: true, hasAlternative: true, instance: "i-0", class: class{rank: 1},
		route: &snapshot.Route{}, writer: nil, request: &http.Request{},
	}
	must.NotNil(t, a.refuseUnlessQueued(x))
	x.rerouteTime = time.Millisecond
	must.NotNil(t, a.refuseUnlessQueued(x))
	x.rerouteTime = 50 * time.Millisecond
	must.Nil(t, a.refuseUnlessQueued(x))
}

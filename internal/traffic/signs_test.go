package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
)

// A node that takes long as a rule is waited for, one that does not is given up as soon
// as before; and a third of the time left is the most.
func TestSilenceIsJudgedByWhatIsUsual(t *testing.T) {
	signs := newSignDelays()
	must.Zero(t, signs.usual("slow"))
	for range 50 {
		signs.note("slow", 150*time.Millisecond)
		signs.note("fast", 2*time.Millisecond)
	}
	x := &exchange{deadline: time.Now().Add(600 * time.Millisecond)}
	must.Between(t, 150*time.Millisecond, x.silenceLimit(signs.usual("slow")), 170*time.Millisecond)
	must.Between(t, 90*time.Millisecond, x.silenceLimit(signs.usual("fast")), 100*time.Millisecond)
	signs.note("dead", 10*time.Second)
	must.Between(t, 190*time.Millisecond, x.silenceLimit(signs.usual("dead")), 200*time.Millisecond)
}

// busyAdmitter is the admitter of a worker with one slot that is taken by a request which
// takes as long as those before it.
func busyAdmitter(run time.Duration) *admitter {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 16})
	now := time.Now()
	arrival := admission.Arrival[*exchange]{Class: admission.Interactive, Kind: "order", Deadline: now.Add(time.Minute), Waiter: &exchange{}}
	ticket, _ := a.queue.Take(arrival, now.Add(-run))
	a.queue.Done(ticket, now)
	a.queue.Take(arrival, now)
	return a
}

// A request that would get a slot here sooner than at another endpoint queues, also when
// its node knows of one that seems to be free.
func TestShortWaitIsBetterThanGoingOn(t *testing.T) {
	a := busyAdmitter(20 * time.Millisecond)
	x := &exchange{
		between: true, elsewhere: true, instance: "i-0", class: class{rank: 1},
		route: &snapshot.Route{}, writer: nil, request: &http.Request{},
	}
	must.NotNil(t, a.noWait(x))
	x.moveTime = time.Millisecond
	must.NotNil(t, a.noWait(x))
	x.moveTime = 50 * time.Millisecond
	must.Nil(t, a.noWait(x))
}

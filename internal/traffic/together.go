package traffic

import (
	"sync"
	"time"
)

// together groups the calls that a run makes at once. They share its fate: when one fails,
// the worker gives the others up. So a repeat is spent on a call only where no other of its
// group was rejected as well: with half of all calls rejected, each repeat then saves twice
// as many runs. Calls name no run; those that begin within togetherFor of each other on one
// route are taken for one run's.
type together struct {
	mutex sync.Mutex
	last  map[string]*callGroup // by route
}

// callGroup is calls that began at once.
type callGroup struct {
	mutex    sync.Mutex
	began    time.Time
	calls    int
	rejected int // and not taken by another worker since
}

// togetherFor is the time within which a run's calls begin: they are written to
// connections of one worker's machine one after the other. Runs that make calls begin
// 50 ms apart and more at a worker of six slots, so that few groups hold calls of two.
const togetherFor = 2 * time.Millisecond

func newTogether() *together { return &together{last: map[string]*callGroup{}} }

// join puts a call into the group that it belongs to.
func (t *together) join(route string, now time.Time) *callGroup {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	group := t.last[route]
	if group == nil || now.Sub(group.began) > togetherFor {
		if len(t.last) >= mostCallsRoutes {
			clear(t.last)
		}
		group = &callGroup{began: now}
		t.last[route] = group
	}
	group.add(1, 0)
	return group
}

// add changes the numbers of calls and of rejected ones.
func (g *callGroup) add(calls, rejected int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.calls += calls
	g.rejected += rejected
}

// has returns how many calls there are, and how many of them are rejected.
func (g *callGroup) has() (calls, rejected int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.calls, g.rejected
}

// Bounds of the wait until the other calls of a group are rejected or are not: as long as
// the rejection of this one took, which is told before a run begins.
const (
	leastSettle = 3 * time.Millisecond
	mostSettle  = 50 * time.Millisecond
)

// worthRepeat reports whether a rejected call may be sent again while repeats are short.
// It waits until it can be told whether others of its group are rejected.
func (d *dispatch) worthRepeat() bool {
	group := d.x.group
	if group == nil || !d.rejectedOnce || !d.out.budget.short(d.service, time.Now()) {
		return true
	}
	if calls, _ := group.has(); calls > 1 {
		timer := time.NewTimer(min(max(leastSettle, time.Since(d.x.started)), mostSettle))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-d.x.context.Done():
			return false // the run has given up: another of its calls has failed
		}
	}
	_, rejected := group.has()
	return rejected <= 1
}

// noteGroup takes in whether the call was rejected for the first time, or was taken after.
func (d *dispatch) noteGroup(failure *result) {
	switch {
	case d.x.group == nil:
	case failure == nil && d.rejectedOnce:
		d.x.group.add(0, -1)
	case failure != nil && failure.rejected && !d.rejectedOnce:
		d.rejectedOnce = true
		d.x.group.add(0, 1)
	}
}

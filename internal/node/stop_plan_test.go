package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopRun plays a stop of 10 s in steps of 50 ms and returns when each phase began.
func stopRun(view func(passed time.Duration, phase stopPhase) stopView) map[stopPhase]time.Duration {
	began := time.Unix(0, 0)
	plan := newStopPlan(10*time.Second, began)
	entered := map[stopPhase]time.Duration{}
	phase := stopServing
	for passed := time.Duration(0); phase != stopEnded; passed += stopPoll {
		phase = plan.step(view(passed, phase), began.Add(passed))
		if _, known := entered[phase]; !known {
			entered[phase] = passed
		}
	}
	return entered
}

// denialsBy is what the platform has been told that asks once a second.
func denialsBy(passed time.Duration) int { return int((passed + 600*time.Millisecond) / time.Second) }

// The slots of a stopping node's worker serve nobody from the handover to the end:
// callers turn away before that, and nothing is waited for twice.
func TestStopKeepsTheWorkersSlotsInUse(t *testing.T) {
	entered := stopRun(func(passed time.Duration, phase stopPhase) stopView {
		view := stopView{denials: denialsBy(passed), worker: 3, callers: 2}
		if view.denials >= readinessDenials {
			view.callers = 0
		}
		if phase >= stopHandover && passed > 1700*time.Millisecond {
			view.worker = 0 // the last run has ended
		}
		return view
	})
	must.Eq(t, 1400*time.Millisecond, entered[stopHandover])
	must.LessEq(t, 2*time.Second, entered[stopEnded])
}

// While the platform has not seen twice that the node is not ready, callers come and
// are served.
func TestStopServesCallersThatCannotKnow(t *testing.T) {
	entered := stopRun(func(time.Duration, stopPhase) stopView { return stopView{} })
	must.GreaterEq(t, 5*time.Second, entered[stopEnded])
	must.LessEq(t, 3100*time.Millisecond, entered[stopHandover])
}

// Questions of others than the platform, in quick succession, don't shorten that.
func TestStopIsNotHurriedByOthersQuestions(t *testing.T) {
	entered := stopRun(func(time.Duration, stopPhase) stopView { return stopView{denials: 50} })
	must.GreaterEq(t, readinessPeriod, entered[stopEnded])
}

// Where too few nodes of a zone are ready, callers come on. They are served by others
// until the local worker has ended its runs and a while beyond.
func TestStopDoesNotWaitForCallersThatComeOn(t *testing.T) {
	entered := stopRun(func(passed time.Duration, phase stopPhase) stopView {
		view := stopView{denials: denialsBy(passed), worker: 2, callers: 1}
		if phase >= stopHandover {
			view.worker = 0
		}
		if phase >= stopRefusing {
			view.callers = 0
		}
		return view
	})
	must.Eq(t, 1400*time.Millisecond, entered[stopHandover])
	must.LessEq(t, 2600*time.Millisecond, entered[stopRefusing])
	must.LessEq(t, 2700*time.Millisecond, entered[stopEnded])
}

// A run that does not end holds the stop up until its last phase, and no longer.
func TestStopEndsInTime(t *testing.T) {
	entered := stopRun(func(passed time.Duration, _ stopPhase) stopView {
		return stopView{denials: denialsBy(passed), worker: 1, callers: 1}
	})
	must.LessEq(t, 9100*time.Millisecond, entered[stopEnded])
	_, refused := entered[stopRefusing]
	must.False(t, refused)
}

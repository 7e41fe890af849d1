package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulateStop runs a stop of 10 s in steps of 50 ms and returns when each phase began.
func simulateStop(stateAt func(passed time.Duration, phase stopPhase) stopState) map[stopPhase]time.Duration {
	began := time.Unix(0, 0)
	plan := newStopPlan(10*time.Second, began)
	entered := map[stopPhase]time.Duration{}
	phase := stopServing
	for passed := time.Duration(0); phase != stopEnded; passed += stopPoll {
		phase = plan.step(stateAt(passed, phase), began.Add(passed))
		if _, known := entered[phase]; !known {
			entered[phase] = passed
		}
	}
	return entered
}

// notReadyRepliesAt is the number of not-ready replies to a platform that asks once a second.
func notReadyRepliesAt(passed time.Duration) int {
	return int((passed + 600*time.Millisecond) / time.Second)
}

// The slots of the worker are idle from the handover until the new process is up. So the stop
// hands over as soon as the platform has noticed it, and ends once the last request at the
// worker has ended.
func TestStopHandsOverOnceThePlatformHasNoticed(t *testing.T) {
	entered := simulateStop(func(passed time.Duration, phase stopPhase) stopState {
		state := stopState{notReadyReplies: notReadyRepliesAt(passed), workerRequests: 3, callerRequests: 2}
		if state.notReadyReplies >= notReadyThreshold {
			state.callerRequests = 0
		}
		if phase >= stopHandover && passed > 1700*time.Millisecond {
			state.workerRequests = 0 // the last request has ended
		}
		return state
	})
	must.Eq(t, 1400*time.Millisecond, entered[stopHandover])
	must.LessEq(t, 2*time.Second, entered[stopEnded])
}

// Until the platform has received two not-ready replies, callers keep coming and are served.
func TestStopServesCallersUntilThePlatformHasNoticed(t *testing.T) {
	entered := simulateStop(func(time.Duration, stopPhase) stopState { return stopState{} })
	must.GreaterEq(t, 5*time.Second, entered[stopEnded])
	must.LessEq(t, 3100*time.Millisecond, entered[stopHandover])
}

// Many readiness requests in quick succession, which come from others than the platform, don't
// shorten the stop.
func TestStopIsNotShortenedByOtherReadinessRequests(t *testing.T) {
	entered := simulateStop(func(time.Duration, stopPhase) stopState { return stopState{notReadyReplies: 50} })
	must.GreaterEq(t, readinessPeriod, entered[stopEnded])
}

// Where too few nodes of a zone are ready, the platform keeps sending callers. They are served
// by other workers until the local worker has finished its requests, and for a bounded time
// after that.
func TestStopDoesNotWaitForCallersThatKeepComing(t *testing.T) {
	entered := simulateStop(func(passed time.Duration, phase stopPhase) stopState {
		state := stopState{notReadyReplies: notReadyRepliesAt(passed), workerRequests: 2, callerRequests: 1}
		if phase >= stopHandover {
			state.workerRequests = 0
		}
		if phase >= stopRefusing {
			state.callerRequests = 0
		}
		return state
	})
	must.Eq(t, 1400*time.Millisecond, entered[stopHandover])
	must.LessEq(t, 2600*time.Millisecond, entered[stopRefusing])
	must.LessEq(t, 2700*time.Millisecond, entered[stopEnded])
}

// A request that does not finish delays the stop until forcedEnd and no longer.
func TestStopEndsWithinTheTimeAllowed(t *testing.T) {
	entered := simulateStop(func(passed time.Duration, _ stopPhase) stopState {
		return stopState{notReadyReplies: notReadyRepliesAt(passed), workerRequests: 1, callerRequests: 1}
	})
	must.LessEq(t, 9100*time.Millisecond, entered[stopEnded])
	_, refused := entered[stopRefusing]
	must.False(t, refused)
}

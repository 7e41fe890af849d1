package node

import "time"

// stopPhase is the progress of a planned stop of a catalog node.
type stopPhase int

// The phases, in order. The local worker keeps running while the node restarts, but its slots
// are idle from stopHandover until the new process is up. So stopServing does all the waiting
// that is possible before that.
const (
	stopServing  stopPhase = iota // reported as not ready but serving all requests, since callers have not noticed yet
	stopHandover                  // no new requests to the local worker, callers' requests go to other workers
	stopRefusing                  // callers are rejected too, requests in flight finish
	stopEnded                     // the process may exit
)

// String is the phase's name in the log.
func (p stopPhase) String() string {
	return [...]string{"serving", "handover", "refusing", "ended"}[p]
}

// The times of a planned stop, as fractions of the time allowed for it.
const (
	maxServing      = 0.3  // maximum length of stopServing
	callerGrace     = 0.5  // how long callers are served if the platform has not requested readiness often enough to notice the stop
	strictAdmission = 0.45 // after it, only requests that finish before the process exits are admitted
	maxCallerWait   = 0.1  // maximum wait from the handover for callers that keep coming; it overlaps the wait for the last request at the worker
	forcedEnd       = 0.9  // after it the process exits even if requests are in flight
)

const (
	// readinessPeriod is the interval of the platform's readiness requests.
	readinessPeriod = time.Second
	// notReadyThreshold is the number of consecutive not-ready replies after which the
	// platform sends the node no new callers.
	notReadyThreshold = 2
	// callerIdleTime is how long no request of a caller may have been in flight before callers
	// count as diverted.
	callerIdleTime = 300 * time.Millisecond
)

// stopPlan decides when a planned stop enters its next phase.
type stopPlan struct {
	allowed time.Duration // for the whole stop
	began   time.Time

	phase            stopPhase
	handover         time.Time // time when stopHandover began
	callersIdleSince time.Time // time since which no caller's request has been in flight
}

// stopState is the input of the plan.
type stopState struct {
	notReadyReplies int // not-ready replies to readiness requests
	workerRequests  int // requests in flight or queued at the local worker
	callerRequests  int // requests in flight from callers and from the local worker
}

func newStopPlan(allowed time.Duration, began time.Time) stopPlan {
	return stopPlan{allowed: allowed, began: began, callersIdleSince: began}
}

// step returns the phase of the stop at the time now.
func (p *stopPlan) step(state stopState, now time.Time) stopPhase {
	if state.callerRequests > 0 {
		p.callersIdleSince = now
	}
	if p.phase == stopServing && (p.platformNotified(state, now) || p.pastFraction(maxServing, now)) {
		p.phase, p.handover = stopHandover, now
	}
	if p.phase == stopHandover && state.workerRequests == 0 && p.callersDiverted(state, now) {
		p.phase = stopRefusing
	}
	if p.phase == stopRefusing && state.callerRequests == 0 || p.pastFraction(forcedEnd, now) {
		p.phase = stopEnded
	}
	return p.phase
}

// platformNotified reports whether the platform has received enough not-ready replies. Others
// than the platform may send readiness requests as well, so the replies count only after the
// time that the platform's own requests take.
func (p *stopPlan) platformNotified(state stopState, now time.Time) bool {
	return state.notReadyReplies >= notReadyThreshold && now.Sub(p.began) >= readinessPeriod*(notReadyThreshold-1)
}

// callersDiverted reports whether callers have stopped coming, or need not be waited for any
// longer: where too few nodes of a zone are ready, the platform sends callers also to nodes
// that are not ready.
func (p *stopPlan) callersDiverted(state stopState, now time.Time) bool {
	if !p.platformNotified(state, now) && !p.pastFraction(callerGrace, now) {
		return false
	}
	return now.Sub(p.callersIdleSince) > callerIdleTime || now.Sub(p.handover) > p.fraction(maxCallerWait)
}

func (p *stopPlan) pastFraction(share float64, now time.Time) bool {
	return now.Sub(p.began) > p.fraction(share)
}

func (p *stopPlan) fraction(share float64) time.Duration {
	return time.Duration(share * float64(p.allowed))
}

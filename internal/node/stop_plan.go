package node

import "time"

// stopPhase is how far a planned stop of a catalog node has come.
type stopPhase int

// The phases, in order. The worker beside the node runs on while the node restarts,
// and its slots serve nobody from stopHandover until the new process is up: all that
// can be waited for is waited for in stopServing.
const (
	stopServing  stopPhase = iota // not ready, but all is served: callers don't know yet
	stopHandover                  // the local worker is given nothing new, callers are served by others
	stopRefusing                  // callers are refused as well, what runs ends
	stopEnded                     // the process may end
)

// String is the phase's name in the log.
func (p stopPhase) String() string {
	return [...]string{"serving", "handover", "refusing", "ended"}[p]
}

// The times of a planned stop, as parts of the time allowed.
const (
	workerPhase = 0.3  // the longest stopServing
	callerPhase = 0.5  // callers that can't be seen to have turned away are served for so long
	strictPhase = 0.45 // from then on, only requests are taken that end before the process does
	callersWait = 0.1  // for callers that come on although they were told, beside the last run
	lastPhase   = 0.9  // then the process ends whatever still runs
)

const (
	// readinessPeriod is how often the platform asks whether a node is ready.
	readinessPeriod = time.Second
	// readinessDenials is after how many answers in a row that it is not the platform
	// sends the node no new callers.
	readinessDenials = 2
	// quietFor is how long no caller's request may have run before callers count as gone.
	quietFor = 300 * time.Millisecond
)

// stopPlan decides how a planned stop goes on.
type stopPlan struct {
	allowed time.Duration // for the whole stop
	began   time.Time

	phase      stopPhase
	handover   time.Time // when stopHandover began
	quietSince time.Time // since when no caller's request has run
}

// stopView is what the plan goes by.
type stopView struct {
	denials int // times that the platform was told that the node is not ready
	worker  int // requests that run or wait at the local worker
	callers int // requests of callers and of the local worker that run
}

func newStopPlan(allowed time.Duration, began time.Time) stopPlan {
	return stopPlan{allowed: allowed, began: began, quietSince: began}
}

// step returns the phase that the stop has now.
func (p *stopPlan) step(view stopView, now time.Time) stopPhase {
	if view.callers > 0 {
		p.quietSince = now
	}
	if p.phase == stopServing && (p.callersTold(view, now) || p.past(workerPhase, now)) {
		p.phase, p.handover = stopHandover, now
	}
	if p.phase == stopHandover && view.worker == 0 && p.callersLeft(view, now) {
		p.phase = stopRefusing
	}
	if p.phase == stopRefusing && view.callers == 0 || p.past(lastPhase, now) {
		p.phase = stopEnded
	}
	return p.phase
}

// callersTold reports whether the platform has seen often enough that the node is not
// ready. Others may ask as well, so the denials count only after the time that the
// platform's own take.
func (p *stopPlan) callersTold(view stopView, now time.Time) bool {
	return view.denials >= readinessDenials && now.Sub(p.began) >= readinessPeriod*(readinessDenials-1)
}

// callersLeft reports whether no more callers come, or are not to be waited for: where
// too few nodes of a zone are ready, the platform sends callers to those that are not.
func (p *stopPlan) callersLeft(view stopView, now time.Time) bool {
	if !p.callersTold(view, now) && !p.past(callerPhase, now) {
		return false
	}
	return now.Sub(p.quietSince) > quietFor || now.Sub(p.handover) > p.part(callersWait)
}

func (p *stopPlan) past(part float64, now time.Time) bool { return now.Sub(p.began) > p.part(part) }

func (p *stopPlan) part(part float64) time.Duration {
	return time.Duration(part * float64(p.allowed))
}

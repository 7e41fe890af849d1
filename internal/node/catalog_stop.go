package node

import (
	"context"
	"time"

	"sliphead/internal/logging"
)

// finalResponseTime is the time allowed to send the last responses.
const finalResponseTime = 200 * time.Millisecond

// stopPoll is the interval at which a stopping node checks whether it may enter the next
// phase.
const stopPoll = 50 * time.Millisecond

// beginStop starts a planned stop. StopBy is called before stopping is closed, so that
// responses already close their connections by the time the node reports not ready.
func (n *CatalogNode) beginStop() {
	n.stopBegan = time.Now()
	n.outbound.StopBy(n.stopBegan.Add(n.fractionOfStop(strictAdmission)), n.stopBegan.Add(n.fractionOfStop(forcedEnd)))
	close(n.stopping)
}

// drain carries out a planned stop that has begun. The node reports not ready at once. Once
// the platform has noticed, the local worker gets no new requests. Once callers have been
// diverted and no request is in flight, the stop ends.
func (n *CatalogNode) drain(ctx context.Context) {
	logging.Event(n.options.Logger, "node.draining", logging.Fields{"in_flight": n.InFlight()})
	plan := newStopPlan(n.settings.Drain.Timeout.Duration, n.stopBegan)
	for phase := stopServing; phase != stopEnded && ctx.Err() == nil; {
		time.Sleep(stopPoll)
		phase = n.stopStep(&plan, phase)
	}
	n.outbound.Drain()
	n.endRequests(ctx)
	logging.Event(n.options.Logger, "node.drained", logging.Fields{"took_ms": time.Since(n.stopBegan).Milliseconds(), "cut": n.InFlight()})
}

// stopStep advances the stop by one step and drains what the new phase drains.
func (n *CatalogNode) stopStep(plan *stopPlan, before stopPhase) stopPhase {
	state := stopState{notReadyReplies: int(n.notReadyReplies.Load()), workerRequests: n.inbound.InFlight(), callerRequests: n.outbound.InFlight()}
	phase := plan.step(state, time.Now())
	if phase == before {
		return phase
	}
	logging.Event(n.options.Logger, "node.stopPhase", logging.Fields{
		"phase": phase.String(), "passed_ms": time.Since(n.stopBegan).Milliseconds(), "denials": state.notReadyReplies, "worker": state.workerRequests, "callers": state.callerRequests,
	})
	if phase >= stopHandover {
		n.inbound.Drain()
	}
	if phase >= stopRefusing {
		n.outbound.Drain()
	}
	return phase
}

// handleReadiness returns the reply to a readiness request and counts not-ready replies during
// a stop.
func (n *CatalogNode) handleReadiness() (bool, string) {
	ready, reason := n.ready()
	select {
	case <-n.stopping:
		n.notReadyReplies.Add(1)
	default:
	}
	return ready, reason
}

// endRequests ends the requests that are still in flight with a final response, and waits up
// to finalResponseTime for these to be sent.
func (n *CatalogNode) endRequests(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, finalResponseTime)
	defer cancel()
	n.outbound.CancelRunning()
	_ = n.outbound.Wait(bounded) // its only error is the timeout; the remaining requests are logged as cut
}

func (n *CatalogNode) fractionOfStop(share float64) time.Duration {
	return time.Duration(share * float64(n.settings.Drain.Timeout.Duration))
}

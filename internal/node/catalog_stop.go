package node

import (
	"context"
	"time"

	"sliphead/internal/logging"
)

// answerTime is what the last answers have to be sent.
const answerTime = 200 * time.Millisecond

// stopPoll is how often a stopping node looks whether it has ended.
const stopPoll = 50 * time.Millisecond

// beginStop makes the node leave. Whoever sees that it is not ready any more
// already gets answers that close their connection.
func (n *CatalogNode) beginStop() {
	n.stopBegan = time.Now()
	n.outbound.LeaveBy(n.stopBegan.Add(n.stopPart(strictPhase)), n.stopBegan.Add(n.stopPart(lastPhase)))
	close(n.stopping)
}

// drain carries out a planned stop that has begun: not ready at once; once callers
// know, no work for the local worker; then, once they have turned away and nothing
// runs, the end.
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

// stopStep takes the stop a step on, and closes what the phase closes.
func (n *CatalogNode) stopStep(plan *stopPlan, before stopPhase) stopPhase {
	view := stopView{denials: int(n.denials.Load()), worker: n.inbound.InFlight(), callers: n.outbound.InFlight()}
	phase := plan.step(view, time.Now())
	if phase == before {
		return phase
	}
	logging.Event(n.options.Logger, "node.stopPhase", logging.Fields{
		"phase": phase.String(), "passed_ms": time.Since(n.stopBegan).Milliseconds(), "denials": view.denials, "worker": view.worker, "callers": view.callers,
	})
	if phase >= stopHandover {
		n.inbound.Drain()
	}
	if phase >= stopRefusing {
		n.outbound.Drain()
	}
	return phase
}

// readyAsked answers the platform's question, and counts that it was told of a stop.
func (n *CatalogNode) readyAsked() (bool, string) {
	ready, reason := n.ready()
	select {
	case <-n.stopping:
		n.denials.Add(1)
	default:
	}
	return ready, reason
}

// endRequests gives what still runs its final answer and a moment to send it.
func (n *CatalogNode) endRequests(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	n.outbound.End()
	_ = n.outbound.Wait(bounded) // its only error is the bound; what is left is counted as cut
}

func (n *CatalogNode) stopPart(part float64) time.Duration {
	return time.Duration(part * float64(n.settings.Drain.Timeout.Duration))
}

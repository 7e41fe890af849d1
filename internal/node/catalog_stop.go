package node

import (
	"context"
	"time"

	"sliphead/internal/logging"
)

// The phases of a planned stop, as parts of the time allowed. Callers look at
// the readiness once a second and send on until they have seen it gone twice.
const (
	workerPhase = 0.3  // the local worker takes requests of other nodes for so long
	callerPhase = 0.5  // callers are served for so long at least
	strictPhase = 0.45 // from then on, only requests are taken that end before the process does
	lastPhase   = 0.9  // then the process ends whatever still runs
)

// quietFor is how long nothing may have run before the process ends.
const quietFor = 300 * time.Millisecond

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

// drain carries out a planned stop that has begun: not ready at once; then no
// work for the local worker; then, once callers have turned away and nothing
// runs, the end.
func (n *CatalogNode) drain(ctx context.Context) {
	began := n.stopBegan
	logging.Event(n.options.Logger, "node.draining", logging.Fields{"in_flight": n.InFlight()})
	quietSince := began
	for ctx.Err() == nil {
		time.Sleep(stopPoll)
		now := time.Now()
		passed := now.Sub(began)
		if n.InFlight() > 0 {
			quietSince = now
		}
		if passed > n.stopPart(workerPhase) {
			n.inbound.Drain()
		}
		ended := passed > n.stopPart(callerPhase) && now.Sub(quietSince) > quietFor
		if ended || passed > n.stopPart(lastPhase) {
			break
		}
	}
	n.outbound.Drain()
	n.endRequests(ctx)
	logging.Event(n.options.Logger, "node.drained", logging.Fields{"took_ms": time.Since(began).Milliseconds(), "cut": n.InFlight()})
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

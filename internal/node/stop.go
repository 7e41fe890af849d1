package node

import (
	"context"
	"time"

	"sliphead/internal/logging"
)

// leaveSpread is how long a leaving node goes on gossiping, so that its peers
// learn of it before it is gone.
const leaveSpread = time.Second

// Stop begins a planned stop and returns at once: no new work, everything in
// flight finishes, then Run returns.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopping) })
}

// stop carries out a planned stop.
func (n *Node) stop(ctx context.Context) {
	began := time.Now()
	logging.Event(n.options.Logger, "node.draining", logging.Fields{"in_flight": n.requests.inFlight()})
	n.loop.Drain(ctx)
	bounded, cancel := context.WithTimeout(ctx, n.settings.Drain.Timeout.Duration)
	defer cancel()
	n.requests.drain(bounded)
	n.loop.Leave(ctx)
	select {
	case <-time.After(leaveSpread):
	case <-ctx.Done():
	}
	n.requests.logFinished(began, n.requests.inFlight())
}

// InFlight counts the requests that run now.
func (n *Node) InFlight() int { return n.requests.inFlight() }

// drain refuses new requests and waits until those in flight have ended or ctx
// ends. The inbound side goes first: until its last request has ended, the
// worker may need the outbound side for calls of its own. The waits' only error
// is the bound, and logFinished counts what it cut.
func (r *requests) drain(ctx context.Context) {
	if r.inbound != nil {
		r.inbound.Drain()
		_ = r.inbound.Wait(ctx)
	}
	if r.outbound != nil {
		r.outbound.Drain()
		_ = r.outbound.Wait(ctx)
	}
}

// inFlight counts the requests that run now.
func (r *requests) inFlight() int {
	count := 0
	if r.inbound != nil {
		count += r.inbound.InFlight()
	}
	if r.outbound != nil {
		count += r.outbound.InFlight()
	}
	return count
}

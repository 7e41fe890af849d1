package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

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
	n.requests.drain()
	bounded, cancel := context.WithTimeout(ctx, n.settings.Drain.Timeout.Duration)
	defer cancel()
	n.requests.wait(bounded)
	n.loop.Leave(ctx)
	select {
	case <-time.After(leaveSpread):
	case <-ctx.Done():
	}
	n.requests.logFinished(began, n.requests.inFlight())
}

// InFlight counts the requests that run now.
func (n *Node) InFlight() int { return n.requests.inFlight() }

// drain refuses new requests from now on.
func (r *requests) drain() {
	if r.inbound != nil {
		r.inbound.Drain()
	}
	if r.outbound != nil {
		r.outbound.Drain()
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

// wait returns when nothing is in flight or ctx ends.
func (r *requests) wait(ctx context.Context) {
	var group errgroup.Group
	if r.inbound != nil {
		group.Go(func() error { return r.inbound.Wait(ctx) })
	}
	if r.outbound != nil {
		group.Go(func() error { return r.outbound.Wait(ctx) })
	}
	_ = group.Wait() // the only error is the bound, and logFinished counts what it cut
}

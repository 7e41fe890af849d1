package node

import (
	"context"
	"time"

	"sliphead/internal/logging"
)

// leaveGossipTime is how long a leaving node keeps gossiping, so that its peers learn that it
// leaves before its process exits.
const leaveGossipTime = time.Second

// Stop begins a planned stop and returns at once. The node takes no new requests, those in
// flight finish, then Run returns.
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
	case <-time.After(leaveGossipTime):
	case <-ctx.Done():
	}
	n.requests.logFinished(began, n.requests.inFlight())
}

// InFlight returns the number of requests in flight.
func (n *Node) InFlight() int { return n.requests.inFlight() }

// drain rejects new requests and waits until those in flight have ended or ctx ends. The
// inbound side is drained first: until its last request has ended, the worker may need the
// outbound side for calls of its own. The only error of the waits is the timeout, and
// logFinished logs the number of requests that it cut.
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

// inFlight returns the number of requests in flight.
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

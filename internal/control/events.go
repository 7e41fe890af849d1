package control

import (
	"context"

	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/wire"
)

// The events that other goroutines submit to the loop.
type (
	tick           struct{}
	sourceRead     struct{ set *snapshot.Set }
	sourceFailed   struct{ err error }
	machinesRead   struct{ machines []membership.ListedMachine }
	endpointChange struct{ state wire.EndpointState }
	drainRequest   struct{}
	leaveRequest   struct{ done chan struct{} }
	statusRequest  struct{ reply chan Status }
)

// SourceRead reports a configuration that this node read from the source.
func (l *Loop) SourceRead(ctx context.Context, set *snapshot.Set) {
	l.submit(ctx, sourceRead{set: set})
}

// SourceFailed reports that a read of the source failed.
func (l *Loop) SourceFailed(ctx context.Context, err error) {
	l.submit(ctx, sourceFailed{err: err})
}

// MachinesRead reports the platform's list of machines, which may be old.
func (l *Loop) MachinesRead(ctx context.Context, machines []membership.ListedMachine) {
	l.submit(ctx, machinesRead{machines: machines})
}

// SetEndpoint reports the state of the local worker.
func (l *Loop) SetEndpoint(ctx context.Context, state wire.EndpointState) {
	l.submit(ctx, endpointChange{state: state})
}

// Drain tells the fleet, before a planned stop, that the local worker takes no
// new requests. From then on SetEndpoint has no effect: the worker may still
// look ready.
func (l *Loop) Drain(ctx context.Context) {
	l.submit(ctx, drainRequest{})
}

// Leave announces to the fleet that this node is going. It returns when the
// announcement has been handed to the transport.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	l.submit(ctx, leaveRequest{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Status returns what the loop knows now.
func (l *Loop) Status(ctx context.Context) Status {
	reply := make(chan Status, 1)
	l.submit(ctx, statusRequest{reply: reply})
	select {
	case status := <-reply:
		return status
	case <-ctx.Done():
		return Status{}
	}
}

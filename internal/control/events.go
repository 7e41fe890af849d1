package control

import (
	"context"

	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/wire"
)

// Events submitted to the loop by other goroutines.
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

// SourceRead reports a configuration that this node read from the source. Like all
// methods in this file, it blocks while the loop's queue is full, until ctx is done.
func (l *Loop) SourceRead(ctx context.Context, set *snapshot.Set) {
	l.submit(ctx, sourceRead{set: set})
}

// SourceFailed reports that a read of the source failed.
func (l *Loop) SourceFailed(ctx context.Context, err error) {
	l.submit(ctx, sourceFailed{err: err})
}

// MachinesRead reports the platform's machine list, which may be stale.
func (l *Loop) MachinesRead(ctx context.Context, machines []membership.ListedMachine) {
	l.submit(ctx, machinesRead{machines: machines})
}

// SetEndpoint reports the state of the local worker.
func (l *Loop) SetEndpoint(ctx context.Context, state wire.EndpointState) {
	l.submit(ctx, endpointChange{state: state})
}

// Drain announces to the fleet, before a planned stop, that the local worker accepts
// no new requests. Later calls of SetEndpoint have no effect, because the worker's
// health check may still report it as ready.
func (l *Loop) Drain(ctx context.Context) {
	l.submit(ctx, drainRequest{})
}

// Leave announces to the fleet that this node is about to stop. It returns when the
// announcement has been passed to the transport, or when ctx is done.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	l.submit(ctx, leaveRequest{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Status returns the current control state, or the zero Status when ctx is done first.
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

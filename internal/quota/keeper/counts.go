package keeper

import (
	"context"
	"sync/atomic"

	"sliphead/internal/quota"
)

// counts are the totals since the start. They are safe for concurrent use.
type counts struct {
	messages atomic.Uint64 // datagrams sent
	bytes    atomic.Uint64 // of the datagrams sent
	dropped  atomic.Uint64 // datagrams received while the input queue was full

	cached, granted, fallback, rejected, unlimited atomic.Uint64 // requests, by outcome
}

func (c *counts) of(result quota.Result) *atomic.Uint64 {
	switch result {
	case quota.Cached:
		return &c.cached
	case quota.Granted:
		return &c.granted
	case quota.Fallback:
		return &c.fallback
	case quota.Unlimited:
		return &c.unlimited
	}
	return &c.rejected
}

// Results returns all outcomes of a request.
func Results() []quota.Result {
	return []quota.Result{quota.Cached, quota.Granted, quota.Fallback, quota.Rejected, quota.Unlimited}
}

// RequestCount returns the number of requests with this outcome since the start.
func (k *Keeper) RequestCount(result quota.Result) uint64 { return k.counts.of(result).Load() }

// Sent returns the number of datagrams sent to other nodes and their total bytes.
func (k *Keeper) Sent() (datagrams, bytes uint64) {
	return k.counts.messages.Load(), k.counts.bytes.Load()
}

// Dropped returns the number of datagrams dropped because the input queue was full.
func (k *Keeper) Dropped() uint64 { return k.counts.dropped.Load() }

// statusRequest asks the owner goroutine for the state of the machine.
type statusRequest struct{ reply chan quota.Status }

// Status returns the current state, or a zero Status if the owner does not reply before ctx
// ends.
func (k *Keeper) Status(ctx context.Context) quota.Status {
	request := statusRequest{reply: make(chan quota.Status, 1)}
	select {
	case k.inputs <- input{event: request}:
	case <-ctx.Done():
		return quota.Status{}
	}
	select {
	case status := <-request.reply:
		return status
	case <-ctx.Done():
		return quota.Status{}
	}
}

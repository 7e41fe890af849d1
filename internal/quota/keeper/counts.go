package keeper

import (
	"context"
	"sync/atomic"

	"sliphead/internal/quota"
)

// counts are running totals.
type counts struct {
	messages atomic.Uint64 // datagrams sent
	bytes    atomic.Uint64 // in them
	dropped  atomic.Uint64 // datagrams that found no room in the owner's queue

	held, granted, alone, refused, unlimited atomic.Uint64 // requests, by what became of them
}

func (c *counts) of(result quota.Result) *atomic.Uint64 {
	switch result {
	case quota.Held:
		return &c.held
	case quota.Granted:
		return &c.granted
	case quota.Alone:
		return &c.alone
	case quota.Unlimited:
		return &c.unlimited
	}
	return &c.refused
}

// Results are all that a request can be counted as.
func Results() []quota.Result {
	return []quota.Result{quota.Held, quota.Granted, quota.Alone, quota.Refused, quota.Unlimited}
}

// Counted returns how many requests ended so since the start.
func (k *Keeper) Counted(result quota.Result) uint64 { return k.counts.of(result).Load() }

// Sent returns how many datagrams were sent to other nodes, and their bytes.
func (k *Keeper) Sent() (datagrams, bytes uint64) {
	return k.counts.messages.Load(), k.counts.bytes.Load()
}

// Dropped returns how many datagrams came and found no room in the owner's queue.
func (k *Keeper) Dropped() uint64 { return k.counts.dropped.Load() }

// statusAsked asks the owner for the machine's state.
type statusAsked struct{ reply chan quota.Status }

// Status tells the state of now, nothing if the owner does not answer before ctx ends.
func (k *Keeper) Status(ctx context.Context) quota.Status {
	asked := statusAsked{reply: make(chan quota.Status, 1)}
	select {
	case k.inputs <- input{event: asked}:
	case <-ctx.Done():
		return quota.Status{}
	}
	select {
	case status := <-asked.reply:
		return status
	case <-ctx.Done():
		return quota.Status{}
	}
}

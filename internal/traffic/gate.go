package traffic

import (
	"context"
	"sync"
)

// gate counts requests in flight and, once draining, lets no more in.
type gate struct {
	mutex    sync.Mutex
	draining bool
	inFlight int
	empty    chan struct{} // closed when draining and nothing is in flight
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter lets a request in, false when draining.
func (g *gate) enter() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

// leave ends a request that was let in.
func (g *gate) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.closeWhenEmpty()
}

func (g *gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.closeWhenEmpty()
}

func (g *gate) closeWhenEmpty() {
	if g.draining && g.inFlight == 0 {
		close(g.empty)
	}
}

func (g *gate) count() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

// wait returns when the gate drains and nothing is in flight any more.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

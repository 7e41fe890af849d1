package traffic

import (
	"context"
	"sync"
)

// gate counts the requests in flight and rejects new ones once draining. It is safe for
// concurrent use.
type gate struct {
	mutex    sync.Mutex
	draining bool
	inFlight int
	empty    chan struct{} // closed when draining and nothing is in flight
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter counts a new request. It returns false when draining.
func (g *gate) enter() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

// leave ends a request for which enter returned true.
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

// wait blocks until draining has begun and no request is in flight, or until ctx ends.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package traffic

import (
	"context"
	"sync"
)

// inFlightTracker counts the requests in flight and rejects new ones once draining. It is safe for
// concurrent use.
type inFlightTracker struct {
	mutex    sync.Mutex
	draining bool
	inFlight int
	empty    chan struct{} // closed when draining and nothing is in flight
}

func newInFlightTracker() *inFlightTracker { return &inFlightTracker{empty: make(chan struct{})} }

// begin counts a new request. It returns false when draining.
func (g *inFlightTracker) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

// end ends a request for which begin returned true.
func (g *inFlightTracker) end() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.closeWhenEmpty()
}

func (g *inFlightTracker) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.closeWhenEmpty()
}

func (g *inFlightTracker) closeWhenEmpty() {
	if g.draining && g.inFlight == 0 {
		close(g.empty)
	}
}

func (g *inFlightTracker) count() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

// wait blocks until draining has begun and no request is in flight, or until ctx ends.
func (g *inFlightTracker) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package traffic

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sliphead/internal/snapshot"
)

// workerLink holds the connections to the local worker, within its bound.
type workerLink struct {
	dial      DialFunc
	mutex     sync.Mutex
	bounded   int // connections in all
	pool      *pool
	transport *http.Transport // for what the pool does not carry

	checking sync.Mutex // held while the worker is asked for a connection
	checked  time.Time  // when it was asked last
	ended    bool       // whether it refused one then
}

// transportShare is the part of the worker's connections that the transport
// has to itself; one is left to it in any case.
const transportShare = 4

func newWorkerLink(config Config) *workerLink {
	link := &workerLink{dial: config.Dial}
	link.bound(config.Limits.Connections)
	return link
}

// bound changes the number of connections. Requests in flight end on the
// connections that they have.
func (l *workerLink) bound(connections int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.bounded == connections {
		return
	}
	if l.transport != nil {
		l.pool.close()
		l.transport.CloseIdleConnections()
	}
	l.bounded = connections
	shared := max(1, connections/transportShare)
	l.transport = newTransport(l.dial, shared, shared)
	l.pool = newPool(l.dial, connections-shared, connections-shared)
}

func (l *workerLink) connections() (*pool, *http.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pool, l.transport
}

// hasEnded reports whether the worker takes no connections: it has ended, and did not just
// break one off. Requests that broke off together share one look; a connection that is
// opened for it serves the next request.
func (l *workerLink) hasEnded(ctx context.Context, address string, broken time.Time) bool {
	l.checking.Lock()
	defer l.checking.Unlock()
	if l.checked.After(broken) {
		return l.ended
	}
	l.checked = time.Now()
	direct, _ := l.connections()
	conn, err := direct.connect(ctx, address)
	if err == nil {
		direct.put(conn)
	}
	l.ended = errors.Is(err, syscall.ECONNREFUSED)
	return l.ended
}

// adjust takes the worker's declared slots and connections from a new view.
func (in *Inbound) adjust(view *snapshot.View) {
	if in.seen.Swap(view) == view {
		return
	}
	for _, route := range view.Routes {
		for _, endpoint := range route.Endpoints {
			if endpoint.Worker == in.config.Worker && endpoint.Slots > 0 && endpoint.Connections > 0 {
				in.admitter.resize(endpoint.Slots)
				in.worker.bound(endpoint.Connections)
				return
			}
		}
	}
}

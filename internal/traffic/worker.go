package traffic

import (
	"net/http"
	"sync"

	"sliphead/internal/snapshot"
)

// workerLink holds the connections to the local worker, within its bound.
type workerLink struct {
	dial        DialFunc
	mutex       sync.Mutex
	connections int
	current     *http.Transport
}

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
	if l.connections == connections {
		return
	}
	if l.current != nil {
		l.current.CloseIdleConnections()
	}
	l.connections = connections
	l.current = newTransport(l.dial, connections, connections)
}

func (l *workerLink) transport() *http.Transport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
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

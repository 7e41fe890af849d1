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

// workerLink manages the connections to the local worker, up to their maximum number. It is safe
// for concurrent use.
type workerLink struct {
	dial           DialFunc
	mutex          sync.Mutex
	maxConnections int // pool and transport together
	pool           *pool
	transport      *http.Transport // for requests that the pool does not support

	checkMutex sync.Mutex // held while a connection is opened to check the worker
	lastCheck  time.Time  // when the worker was last checked
	refused    bool       // whether it refused the connection then
}

// transportDivisor divides the worker's connections: that part, at least one, is reserved for the
// transport.
const transportDivisor = 4

func newWorkerLink(config Config) *workerLink {
	link := &workerLink{dial: config.Dial}
	link.setMaxConnections(config.Limits.Connections)
	return link
}

// setMaxConnections changes the maximum number of connections. Requests in flight complete on the
// connections that they use.
func (l *workerLink) setMaxConnections(connections int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.maxConnections == connections {
		return
	}
	if l.transport != nil {
		l.pool.close()
		l.transport.CloseIdleConnections()
	}
	l.maxConnections = connections
	shared := max(1, connections/transportDivisor)
	l.transport = newTransport(l.dial, shared, shared)
	l.pool = newPool(l.dial, connections-shared, connections-shared)
}

func (l *workerLink) connections() (*pool, *http.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pool, l.transport
}

// isDown reports whether the worker refuses connections, so that it has terminated rather than
// just closed one. Requests whose connections broke before the same check share its result. The
// connection opened by the check is put into the pool for the next request.
func (l *workerLink) isDown(ctx context.Context, address string, broken time.Time) bool {
	l.checkMutex.Lock()
	defer l.checkMutex.Unlock()
	if l.lastCheck.After(broken) {
		return l.refused
	}
	l.lastCheck = time.Now()
	direct, _ := l.connections()
	conn, err := direct.connect(ctx, address)
	if err == nil {
		direct.put(conn)
	}
	l.refused = errors.Is(err, syscall.ECONNREFUSED)
	return l.refused
}

// adoptCapacity applies the worker's declared slots and connections when the view changes.
func (in *Inbound) adoptCapacity(view *snapshot.View) {
	if in.capacityView.Swap(view) == view {
		return
	}
	for _, route := range view.Routes {
		for _, endpoint := range route.Endpoints {
			if endpoint.Worker == in.config.Worker && endpoint.Slots > 0 && endpoint.Connections > 0 {
				in.admitter.resize(endpoint.Slots)
				in.worker.setMaxConnections(endpoint.Connections)
				return
			}
		}
	}
}

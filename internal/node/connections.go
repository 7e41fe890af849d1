package node

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic"
)

// maxRejectedConnections is the maximum number of connections beyond the limit that are open
// at once to be sent a rejection. Further ones are closed unread.
const maxRejectedConnections = 64

// connectionLimit limits the open connections of one listener. On a connection beyond the
// limit the first request is rejected as not run, and the connection is closed.
type connectionLimit struct {
	maximum int

	mutex    sync.Mutex
	open     int             // including those beyond the limit
	excess   map[string]bool // remote addresses of connections beyond the limit
	rejected uint64
}

func newConnectionLimit(maximum int) *connectionLimit {
	return &connectionLimit{maximum: maximum, excess: make(map[string]bool)}
}

// register registers the limit's metrics with the label side.
func (l *connectionLimit) register(registry *prometheus.Registry, side string) {
	labels := prometheus.Labels{"side": side}
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sliphead_connections_open", Help: "Connections that are open.", ConstLabels: labels,
		}, func() float64 { open, _ := l.counts(); return float64(open) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sliphead_connections_refused_total", Help: "Connections beyond the bound.", ConstLabels: labels,
		}, func() float64 { _, rejected := l.counts(); return float64(rejected) }),
	)
}

func (l *connectionLimit) counts() (open int, rejected uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open, l.rejected
}

// admit counts a new connection. It returns false when there are too many connections even to
// send a rejection.
func (l *connectionLimit) admit(remote string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.maximum {
		l.rejected++
	}
	if l.open >= l.maximum+maxRejectedConnections {
		return false
	}
	if l.open >= l.maximum {
		l.excess[remote] = true
	}
	l.open++
	return true
}

// release removes a closed connection from the count.
func (l *connectionLimit) release(remote string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	delete(l.excess, remote)
}

func (l *connectionLimit) isExcess(remote string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.excess[remote]
}

// guard rejects requests on connections beyond the limit and passes the others to handler. A
// rejection carries the IDs of the request and the attempt, and with a catalog the hop header,
// by which the caller's node recognizes it as the response to its own request.
func (l *connectionLimit) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !l.isExcess(request.RemoteAddr) {
			handler.ServeHTTP(writer, request)
			return
		}
		header := writer.Header()
		for _, name := range []string{outcome.RequestID, outcome.Attempt} {
			if value := request.Header.Get(name); value != "" {
				header.Set(name, value)
			}
		}
		traffic.SetNotRunReply(header, request.Header)
		header.Set("Connection", "close")
		header.Set("Retry-After", "1")
		header.Set(outcome.Header, string(outcome.NotRun))
		header.Set(outcome.Remedy, "send it again later, or raise limits.maxConnections: too many connections are open")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}

// listener wraps inner so that its connections are counted.
func (l *connectionLimit) listener(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, limit: l}
}

type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote := conn.RemoteAddr().String()
		if l.limit.admit(remote) {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.limit.release(remote) })}, nil
		}
		_ = conn.Close()
	}
}

// limitedConn removes itself from the count when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// CloseWrite shuts down the sending side of the connection.
func (c *limitedConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. The count is reduced before the connection is closed, while the
// remote address can't be in use by a new one.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

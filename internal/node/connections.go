package node

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/outcome"
)

// refusedConnections is how many connections beyond the bound are open at once
// to be told so. Further ones are closed unread.
const refusedConnections = 64

// connectionLimit bounds the open connections of one listener. A connection
// beyond the bound has its first request refused as not run, and is closed.
type connectionLimit struct {
	maximum int

	mutex   sync.Mutex
	open    int             // those beyond the bound included
	beyond  map[string]bool // remote addresses of connections beyond the bound
	refused uint64
}

func newConnectionLimit(maximum int) *connectionLimit {
	return &connectionLimit{maximum: maximum, beyond: make(map[string]bool)}
}

// register gives the state as metrics of one side.
func (l *connectionLimit) register(registry *prometheus.Registry, side string) {
	labels := prometheus.Labels{"side": side}
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sliphead_connections_open", Help: "Connections that are open.", ConstLabels: labels,
		}, func() float64 { open, _ := l.counts(); return float64(open) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sliphead_connections_refused_total", Help: "Connections beyond the bound.", ConstLabels: labels,
		}, func() float64 { _, refused := l.counts(); return float64(refused) }),
	)
}

func (l *connectionLimit) counts() (open int, refused uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open, l.refused
}

// admit counts a connection, false when there are too many even to refuse it.
func (l *connectionLimit) admit(remote string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.maximum {
		l.refused++
	}
	if l.open >= l.maximum+refusedConnections {
		return false
	}
	if l.open >= l.maximum {
		l.beyond[remote] = true
	}
	l.open++
	return true
}

// release takes a closed connection off the count.
func (l *connectionLimit) release(remote string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	delete(l.beyond, remote)
}

func (l *connectionLimit) isBeyond(remote string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.beyond[remote]
}

// guard refuses requests on connections beyond the bound and passes others on.
// A refusal names the request and the try, by which the caller's node knows it
// for its own.
func (l *connectionLimit) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !l.isBeyond(request.RemoteAddr) {
			handler.ServeHTTP(writer, request)
			return
		}
		header := writer.Header()
		for _, name := range []string{outcome.RequestID, outcome.Attempt} {
			if value := request.Header.Get(name); value != "" {
				header.Set(name, value)
			}
		}
		header.Set("Connection", "close")
		header.Set("Retry-After", "1")
		header.Set(outcome.Header, string(outcome.NotRun))
		header.Set(outcome.Remedy, "send it again later, or raise limits.maxConnections: too many connections are open")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}

// listener returns inner with its connections counted.
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

// limitedConn takes itself off the count when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// CloseWrite tells the other side that nothing more comes.
func (c *limitedConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. The count goes first, while the remote address
// can't be in use again.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// Package httpserver serves HTTP/1.1 connections with pipelining (RFC 9112, section 9.3.2):
// callers may send requests before the responses to earlier ones. Safe requests run
// concurrently; their responses are sent in the order of the requests. Any other request runs
// alone on its connection.
//
// It parses requests with net/http and differs from the server of net/http in three ways:
// pipelined requests don't wait for one another; every request whose header two programs may
// read differently is rejected, not only the first of a connection; and a response announces
// that the connection closes only if no later request has started.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/defaults"
)

// Server is an HTTP/1.1 server. Handler is required; the other fields are set before Serve or
// left at their defaults.
type Server struct {
	Handler http.Handler
	// Safe reports whether a request may run concurrently with others of its connection, and
	// may be discarded when its response can't be sent. Nil: no request may.
	Safe func(*http.Request) bool
	// RejectClosing rejects requests that arrive after a response that closes the connection,
	// while other responses are outstanding. Nil: they are not read. A caller may treat a
	// request that stays unread for long as lost, and close the connection.
	RejectClosing http.Handler

	HeaderTimeout  time.Duration // to read a request's header, from its first byte
	IdleTimeout    time.Duration // between requests
	MaxHeaderBytes int
	// MaxPipelined is the maximum number of requests of one connection that run or wait at
	// once.
	MaxPipelined int
	// MaxPendingBytes is how many bytes of responses of one connection may wait for earlier
	// responses before no further request is read.
	MaxPendingBytes int
	Logger          log.Interface

	mutex       sync.Mutex
	closed      bool
	listeners   map[net.Listener]struct{}
	connections map[*connection]struct{}
}

// The defaults. A connection costs two goroutines and a read buffer, and for each pipelined
// request a goroutine and its response.
const (
	defaultHeaderTimeout   = 5 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultMaxHeaderBytes  = 32 << 10
	defaultMaxPipelined    = 32       // more than callers have outstanding on one connection
	defaultMaxPendingBytes = 64 << 10 // some dozens of short responses
)

// ErrServerClosed is returned by Serve after Close.
var ErrServerClosed = errors.New("the server was closed")

func (s *Server) setDefaults() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections != nil {
		return
	}
	s.listeners = map[net.Listener]struct{}{}
	s.connections = map[*connection]struct{}{}
	defaults.Set(&s.HeaderTimeout, defaultHeaderTimeout)
	defaults.Set(&s.IdleTimeout, defaultIdleTimeout)
	defaults.Set(&s.MaxHeaderBytes, defaultMaxHeaderBytes)
	defaults.Set(&s.MaxPipelined, defaultMaxPipelined)
	defaults.Set(&s.MaxPendingBytes, defaultMaxPendingBytes)
	if s.Logger == nil {
		s.Logger = log.Log
	}
}

// Bounds of the backoff after a temporary error of Accept, for example when no file descriptor
// is left.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Serve accepts connections until the listener fails or Close is called. It may be called
// concurrently for several listeners.
func (s *Server) Serve(listener net.Listener) error {
	s.setDefaults()
	if !s.addListener(listener) {
		_ = listener.Close()
		return ErrServerClosed
	}
	backoff := minAcceptBackoff
	for {
		conn, err := listener.Accept()
		if err == nil {
			backoff = minAcceptBackoff
			s.startConnection(conn)
			continue
		}
		if s.isClosed() {
			return ErrServerClosed
		}
		if !isTemporary(err) {
			return err
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// isTemporary reports whether a later Accept may succeed. The standard library has no other
// way to detect this; its own server uses the same check.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) startConnection(conn net.Conn) {
	c := newConnection(s, conn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.connections[c] = struct{}{}
	go c.serve()
}

func (s *Server) removeConnection(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Close closes the listeners and aborts the connections.
func (s *Server) Close() error {
	s.setDefaults()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for c := range s.connections {
		c.abort()
	}
	return nil
}

// mayRunConcurrently reports whether a request may run concurrently with others of its
// connection. A request with a body may not: the body must be read to its end first.
func (s *Server) mayRunConcurrently(request *http.Request) bool {
	return s.Safe != nil && request.ContentLength == 0 && s.Safe(request)
}

// newConnectionContext returns the context of a connection's requests.
func newConnectionContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"sliphead/internal/fault"
	"sliphead/internal/liveness"
	"sliphead/internal/sockets"
	"sliphead/internal/traffic"
)

// requestListener accepts connections for requests, up to a limit.
type requestListener struct {
	side, address  string
	handler        http.Handler
	safe           func(*http.Request) bool // which requests may run concurrently with others of their connection; nil: none
	rejectClosing  http.HandlerFunc         // rejects requests on a connection that is about to close; nil: they are not read
	security       *tls.Config              // nil: plain
	limits         traffic.Limits
	maxConnections int // maximum open connections
	options        Options
}

// serve runs the listener until ctx ends.
func (l requestListener) serve(ctx context.Context) error {
	limit := newConnectionLimit(l.maxConnections)
	limit.register(l.options.Registry, l.side)
	server := traffic.NewServer(limit.guard(l.handler), l.limits)
	server.Safe = l.safe
	if l.rejectClosing != nil {
		server.RejectClosing = l.rejectClosing
	}
	server.Logger = l.options.Logger
	return serveUntil(ctx, l.address, server, func(plain net.Listener) net.Listener {
		bounded := limit.listener(plain)
		if l.security != nil {
			bounded = tls.NewListener(bounded, l.security)
		}
		return bounded
	})
}

// server is the common part of http.Server and httpserver.Server.
type server interface {
	Serve(net.Listener) error
	Close() error
}

// serveUntil serves on one listener, wrapped unless wrap is nil, until ctx ends. Connections
// that are still open then are closed: a planned stop has already waited for their requests.
func serveUntil(ctx context.Context, address string, server server, wrap func(net.Listener) net.Listener) error {
	listener, err := liveness.Listen(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen in the settings", "listen on %s", address)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	defer sockets.CloseOnDone(ctx, server)()
	if err := server.Serve(listener); ctx.Err() == nil {
		return fault.Wrap(err, fault.Internal, "restart the node", "serve on %s", address)
	}
	return nil
}

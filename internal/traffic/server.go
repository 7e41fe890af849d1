package traffic

import (
	"net/http"
	"time"

	"sliphead/internal/httpserver"
)

// NewServer returns a server that enforces the header and idle-connection limits;
// zero limits take their defaults. The time to read a body is bounded by the route's
// deadline and Limits.BodyTimeout.
func NewServer(handler http.Handler, limits Limits) *httpserver.Server {
	limits = limits.withDefaults()
	return &httpserver.Server{
		Handler:        handler,
		HeaderTimeout:  limits.HeaderTimeout,
		IdleTimeout:    limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeaderBytes,
	}
}

// RefuseOnClosing responds with outcome not-run to a request that arrived on a connection which
// this node is about to close.
func (out *Outbound) RefuseOnClosing(writer http.ResponseWriter, request *http.Request) {
	x := out.begin(writer, request)
	x.closeConnection = true
	refused := refuse(causeDraining, 0, "send it again on another connection")
	refused.retryAfter = minRetryAfter
	out.metrics.conclude(x, refused)
}

// MayRunConcurrently reports whether a request may run concurrently with earlier requests on the
// same connection, which is the case when its route is declared repeatable. It returns false
// while the node has no valid configuration.
func (out *Outbound) MayRunConcurrently(request *http.Request) bool {
	view, current := out.config.Holder.Current(time.Now())
	if !current {
		return false
	}
	route := view.Match(hostOf(request), request.URL, request.Method)
	return route != nil && route.Repeatable
}

package traffic

import "net/http"

// NewServer returns a server with the limits on headers and idle connections.
// The time for a body is bounded by the route's deadline and BodyTimeout. Serve
// it with a listener of NewListener.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	limits = limits.withDefaults()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           refuseAmbiguous(handler),
		ConnContext:       strictContext,
		ConnState:         restartWhenIdle,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		Protocols:         protocols,
	}
}

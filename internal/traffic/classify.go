package traffic

import (
	"net/http"
	"slices"
	"strings"

	"sliphead/internal/outcome"
)

// hostOf returns the host of a request without its port.
func hostOf(request *http.Request) string {
	host := request.Host
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		return host[:colon]
	}
	return host
}

// malformed returns the correction that a request needs before it can be forwarded, "" if it
// needs none.
func malformed(request *http.Request) string {
	switch {
	case !request.ProtoAtLeast(1, 1):
		return "send the request by HTTP/1.1, in HTTP/1.0 a cut answer looks whole"
	case request.Method == http.MethodConnect:
		return "CONNECT is not offered, send the request itself"
	case !strings.HasPrefix(request.URL.Path, "/"):
		return "send a path that starts with a slash"
	case slices.Contains(strings.Split(request.URL.Path, "/"), ".."):
		return "send a path without .. segments"
	case hasHeader(request.Header, outcome.IdempotencyKey) && !validKey(request.Header[outcome.IdempotencyKey]):
		return "send one Idempotency-Key of 1 to 255 visible ASCII characters"
	default:
		return ""
	}
}

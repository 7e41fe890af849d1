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
// needs none. Only callers that use sliphead's own headers give Idempotency-Key a meaning; of any
// others it is passed on as it is.
func (p *Protocol) malformed(request *http.Request) string {
	switch {
	case !request.ProtoAtLeast(1, 1):
		return "send the request by HTTP/1.1, in HTTP/1.0 a cut answer looks whole"
	case request.Method == http.MethodConnect:
		return "CONNECT is not offered, send the request itself"
	case !strings.HasPrefix(request.URL.Path, "/"):
		return "send a path that starts with a slash"
	case slices.Contains(strings.Split(request.URL.Path, "/"), ".."):
		return "send a path without .. segments"
	case changesWhenForwarded(request):
		return "percent-encode the characters of the path that a URI does not allow"
	case p.isNative() && hasHeader(request.Header, outcome.IdempotencyKey) && !validKey(request.Header[outcome.IdempotencyKey]):
		return "send one Idempotency-Key of 1 to 255 visible ASCII characters"
	default:
		return ""
	}
}

// changesWhenForwarded reports whether the target would not reach the worker as it was sent,
// because net/url encodes characters in it that a URI does not allow.
func changesWhenForwarded(request *http.Request) bool {
	sent, target := request.RequestURI, request.URL
	if target.RawPath == "" || sent == "" {
		return false // the path is in its usual encoding
	}
	return !strings.HasSuffix(sent, target.RequestURI()) // an absolute target begins with its host
}

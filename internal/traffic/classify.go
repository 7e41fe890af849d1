package traffic

import (
	"net/http"
	"slices"
	"strings"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// match finds the route of a request: one with the request's host before one
// for any host, then the longest path prefix of whole segments.
func match(view *snapshot.View, host, path, method string) *snapshot.Route {
	var best *snapshot.Route
	for _, route := range view.Routes {
		if matches(route, host, path, method) && better(route, best) {
			best = route
		}
	}
	return best
}

func matches(route *snapshot.Route, host, path, method string) bool {
	hostMatches := route.Host == "" || strings.EqualFold(route.Host, host)
	methodMatches := len(route.Methods) == 0 || slices.Contains(route.Methods, method)
	return hostMatches && methodMatches && hasPrefix(path, route.PathPrefix)
}

// hasPrefix compares whole segments: /a is a prefix of /a/b and not of /ab.
func hasPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}

func better(route, best *snapshot.Route) bool {
	if best == nil {
		return true
	}
	if (route.Host != "") != (best.Host != "") {
		return route.Host != ""
	}
	return len(route.PathPrefix) > len(best.PathPrefix)
}

// hostOf returns the host of a request without its port.
func hostOf(request *http.Request) string {
	host := request.Host
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		return host[:colon]
	}
	return host
}

// malformed names what keeps a request from being forwarded, "" if nothing does.
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

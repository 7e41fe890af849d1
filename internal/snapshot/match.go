package snapshot

import (
	"slices"
	"strings"
)

// Match returns the route of a request, or nil if none matches. Routes for the request's host
// take precedence over routes for any host, and longer prefixes over shorter ones. A prefix
// matches whole path segments: /api matches /api and /api/x, but not /apix.
//
// The host may include a port and is compared case-insensitively. The path must be decoded
// (url.URL.Path). A path with an empty, . or .. segment matches nothing: a worker might resolve
// it to the path of another route, with other rules on retries.
func (v *View) Match(host, path, method string) *Route {
	if ambiguous(path) {
		return nil
	}
	if route := v.match(hostName(host), path, method); route != nil {
		return route
	}
	return v.match("", path, method)
}

// match returns the first matching route of a host, in the order of the view. The empty host
// selects the routes for any host.
func (v *View) match(host, path, method string) *Route {
	routes := v.Routes
	if v.byHost != nil {
		routes = v.byHost[strings.ToLower(host)]
	}
	for _, route := range routes {
		if strings.EqualFold(route.Host, host) && prefixMatches(route.PathPrefix, path) && methodMatches(route.Methods, method) {
			return route
		}
	}
	return nil
}

func methodMatches(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// prefixMatches reports whether the prefix matches whole segments of the path.
func prefixMatches(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" && prefix != "" || strings.HasPrefix(rest, "/"))
}

// hostName removes the port and the trailing dot.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.TrimSuffix(host, ".")
}

// ambiguous reports whether a worker might resolve the path to another one.
func ambiguous(path string) bool {
	if strings.Contains(path, "//") {
		return true
	}
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

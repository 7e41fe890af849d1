package snapshot

import (
	"slices"
	"strings"
)

// Match returns the route of a request, nil if none matches. A route for the
// request's host comes before routes for any host; then the longest prefix
// wins. A prefix matches whole path segments: /api matches /api and /api/x,
// not /apix.
//
// The host may carry a port and is compared without regard to case. The path is
// the decoded one (url.URL.Path). A path with empty, . or .. segments within
// matches nothing: a worker might take it for another route's, with other rules
// on repeating.
func (v *View) Match(host, path, method string) *Route {
	if ambiguous(path) {
		return nil
	}
	if route := v.match(hostName(host), path, method); route != nil {
		return route
	}
	return v.match("", path, method)
}

// match returns the first route of that host in the order of the view. The
// empty host stands for routes for any host.
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

// prefixMatches compares whole segments.
func prefixMatches(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" && prefix != "" || strings.HasPrefix(rest, "/"))
}

// hostName drops the port and the root's trailing dot.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.TrimSuffix(host, ".")
}

// ambiguous reports whether others might take the path for another one.
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

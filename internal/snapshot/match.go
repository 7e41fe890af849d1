package snapshot

import (
	"net/url"
	"slices"
	"strings"
)

// Match returns the route of a request, or nil if none matches. Routes for the request's host
// take precedence over routes for any host, and longer prefixes over shorter ones. The host may
// include a port and is compared case-insensitively.
//
// Routes of a catalog match the path as it was sent. Declared routes match the decoded path, and
// a path with an empty, . or .. segment matches none of them: a worker might resolve it to the
// path of another route, with other rules on retries.
func (v *View) Match(host string, target *url.URL, method string) *Route {
	path := target.Path
	if v.configuration != nil {
		path = target.EscapedPath()
	} else if ambiguous(path) {
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

// prefixMatches reports whether a prefix begins a path. A prefix without a slash at its end, as
// declared routes have, matches whole segments: /api matches /api and /api/x, but not /apix. One
// with a slash at its end, as routes of a catalog have, does not match the path without it:
// /api/ matches /api/ and /api/x, but not /api.
func prefixMatches(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (strings.HasSuffix(prefix, "/") || rest == "" || rest[0] == '/')
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

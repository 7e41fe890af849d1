package snapshot

import (
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

// catalogView returns a view of a catalog with one route for each prefix, at one of two hosts.
func catalogView(routes map[string]string) *View {
	configuration := &catalog.Configuration{Version: 1, Services: map[string]catalog.Service{"shop": {}}}
	for name, hostAndPrefix := range routes {
		host, prefix, _ := strings.Cut(hostAndPrefix, "/")
		configuration.Routes = append(configuration.Routes, catalog.Route{
			Name: name, Host: host, PathPrefix: "/" + prefix,
			Targets: []catalog.WeightedTarget{{Service: "shop", Weight: 1}}, Timeout: time.Second,
		})
	}
	state := catalog.NewState()
	state.Apply(catalog.Batch{Snapshot: true, To: 1, Changes: []catalog.Change{{Revision: 1, Configuration: configuration}}})
	return FromCatalog(state, CatalogInput{At: time.Unix(1, 0), InboundPort: "81"})
}

// longestBeginning returns the name of the route whose prefix begins the path and is the longest,
// "" if there is none.
func longestBeginning(routes map[string]string, host, path string) string {
	found, longest := "", 0
	for name, hostAndPrefix := range routes {
		prefix := strings.TrimPrefix(hostAndPrefix, host)
		if strings.HasPrefix(hostAndPrefix, host+"/") && strings.HasPrefix(path, prefix) && len(prefix) > longest {
			found, longest = name, len(prefix)
		}
	}
	return found
}

func matchedName(view *View, host, path string) string {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return "" // such a request is rejected before it is matched
	}
	if route := view.Match(host, target, "GET"); route != nil {
		return route.Name
	}
	return ""
}

// A route of a catalog gets exactly the paths, as they were sent, that its prefix begins, if no
// longer one does. Fault: /orders/new was taken for the prefix /orders/new/, so that orders ran
// at the service of that route, and twice, because it may be repeated.
func TestCatalogPrefixBeginsPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "new", "..x", ".", "", "%61", "a%2Fb", "A"})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		routes := map[string]string{}
		taken := map[string]bool{}
		for index := range rapid.IntRange(1, 8).Draw(t, "routes") {
			prefix := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host") + strings.TrimSuffix(path("prefix"), "/") + "/"
			if !taken[prefix] {
				routes[fmt.Sprint("r-", index)] = prefix
			}
			taken[prefix] = true
		}
		view := catalogView(routes)
		for range 10 {
			sent := path("path")
			must.Eq(t, longestBeginning(routes, "x", sent), matchedName(view, "x", sent), must.Sprintf("%s among %v", sent, routes))
		}
	})
}

func TestCatalogPrefixMatch(t *testing.T) {
	view := catalogView(map[string]string{"orders": "x/orders/", "new": "x/orders/new/"})
	for path, route := range map[string]string{
		"/orders/new":         "orders",
		"/orders/new/":        "new",
		"/orders/new/1":       "new",
		"/orders/newer":       "orders",
		"/orders/":            "orders",
		"/orders":             "",
		"/ordersnew":          "",
		"/orders/new%2F1":     "orders",
		"/orders/%6Eew/1":     "orders",
		"/%6Frders/new/1":     "",
		"/orders//new/1":      "orders",
		"/orders/./new/1":     "orders",
		"/orders/new//1":      "new",
		"//orders/1":          "",
		"/orders/new?x=/new/": "orders",
	} {
		must.Eq(t, route, matchedName(view, "x", path), must.Sprint(path))
	}
}

package snapshot

import (
	"net/url"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/version"
)

// viewOf returns a view of routes, sorted by Compile.
func viewOf(t *testing.T, routes ...declaration.Route) *View {
	document := documentFor(t)
	document.Selectors = []declaration.Selector{{Name: "all", Service: "storefront"}}
	for _, route := range routes {
		route.Service = "storefront"
		route.Selectors = []string{"all"}
		document.Routes = append(document.Routes, route)
	}
	return compiledOf(t, document).Resolve(ResolveInput{})
}

func TestMatch(t *testing.T) {
	view := viewOf(t,
		declaration.Route{Name: "root", PathPrefix: "/"},
		declaration.Route{Name: "api", PathPrefix: "/api"},
		declaration.Route{Name: "api-orders", PathPrefix: "/api/orders", Methods: []string{"POST"}},
		declaration.Route{Name: "shop-api", PathPrefix: "/api", Host: "shop.example", Methods: []string{"GET"}},
	)
	cases := []struct{ host, path, method, route string }{
		{"other.example", "/api", "GET", "api"},
		{"other.example", "/api/", "GET", "api"},
		{"other.example", "/api/x", "GET", "api"},
		{"other.example", "/apix", "GET", "root"},
		{"other.example", "/", "GET", "root"},
		{"other.example", "/api/orders", "POST", "api-orders"},
		{"other.example", "/api/orders/7", "GET", "api"},
		{"other.example", "/api/orders7", "POST", "api"},
		{"shop.example", "/api/orders", "GET", "shop-api"},
		{"SHOP.example.:8080", "/api", "GET", "shop-api"},
		{"shop.example", "/api/orders", "POST", "api-orders"},
		{"[::1]:8080", "/api", "GET", "api"},
		{"", "/api", "GET", "api"},
		{"other.example", "/api/../orders", "POST", ""},
		{"other.example", "/api/.", "GET", ""},
		{"other.example", "//api/orders", "POST", ""},
		{"other.example", "/.well-known/x..y", "GET", "root"},
		{"other.example", "", "GET", ""},
		{"other.example", "*", "OPTIONS", ""},
	}
	for _, each := range cases {
		name := ""
		if route := view.Match(each.host, &url.URL{Path: each.path}, each.method); route != nil {
			name = route.Name
		}
		must.Eq(t, each.route, name, must.Sprintf("%+v", each))
	}
	must.Nil(t, NewView(version.Version{}, time.Time{}, nil).Match("", &url.URL{Path: "/"}, "GET"))
}

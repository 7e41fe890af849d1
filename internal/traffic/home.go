package traffic

import (
	"slices"

	"sliphead/internal/snapshot"
)

// home is where a request may be: in the regions that its route allows and that its tenant
// allows. A list without regions allows all.
type home struct{ route, tenant []string }

// homeOf returns the home of a request, as a view knows its route and its tenant; what the
// view does not know allows all regions.
func homeOf(view *snapshot.View, route *snapshot.Route, tenantName string) home {
	var at home
	if route != nil {
		at.route = route.Regions
	}
	if tenant := view.Tenant(tenantName); tenant != nil {
		at.tenant = tenant.Regions
	}
	return at
}

// anywhere reports whether all regions are allowed.
func (h home) anywhere() bool { return len(h.route) == 0 && len(h.tenant) == 0 }

// includes reports whether both allow a region.
func (h home) includes(region string) bool {
	return allows(h.route, region) && allows(h.tenant, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

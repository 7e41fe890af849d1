package traffic

import (
	"slices"

	"sliphead/internal/snapshot"
)

// allowedRegions is where a request may run: in the regions that both its route and its tenant
// allow. An empty list allows all regions.
type allowedRegions struct{ route, tenant []string }

// allowedRegionsOf returns the regions of a request according to a view. A route or tenant
// that the view lacks allows all regions.
func allowedRegionsOf(view *snapshot.View, route *snapshot.Route, tenantName string) allowedRegions {
	var regions allowedRegions
	if route != nil {
		regions.route = route.Regions
	}
	if tenant := view.Tenant(tenantName); tenant != nil {
		regions.tenant = tenant.Regions
	}
	return regions
}

// unrestricted reports whether all regions are allowed.
func (h allowedRegions) unrestricted() bool { return len(h.route) == 0 && len(h.tenant) == 0 }

// includes reports whether both lists allow a region.
func (h allowedRegions) includes(region string) bool {
	return allows(h.route, region) && allows(h.tenant, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

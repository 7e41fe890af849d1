package snapshot

import (
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
)

// The weight of a tenant must be its limit; that of a tenant without a limit, the highest
// limit; and that of an unknown tenant, the mean of all weights.
func TestTenantWeightFollowsLimits(t *testing.T) {
	view := &View{}
	must.Eq(t, 1, view.TenantWeight("any"))
	view.SetTenants([]catalog.Tenant{})
	must.Eq(t, 1, view.TenantWeight("any"))
	view.SetTenants([]catalog.Tenant{{Name: "free"}, {Name: "other"}})
	must.Eq(t, 1, view.TenantWeight("free"))
	view.SetTenants([]catalog.Tenant{{Name: "large", RatePerSecond: 50}, {Name: "small", RatePerSecond: 5}, {Name: "free"}})
	must.Eq(t, 50, view.TenantWeight("large"))
	must.Eq(t, 5, view.TenantWeight("small"))
	must.Eq(t, 50, view.TenantWeight("free"))
	must.Eq(t, 35, view.TenantWeight("unknown"))
}

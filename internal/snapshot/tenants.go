package snapshot

import "sliphead/internal/catalog"

// tenants is an index of the tenants of a configuration.
type tenants struct {
	byKey      map[catalog.KeyDigest]*catalog.Tenant
	byTag      map[string]*catalog.Tenant
	byName     map[string]*catalog.Tenant
	maxRate    float64 // the highest limit, in requests a second; 1 if no tenant has a limit
	meanWeight float64 // mean of the tenants' weights
}

// newTenants returns an index of a configuration's tenants, or nil if callers need no key.
func newTenants(configured []catalog.Tenant) *tenants {
	if configured == nil {
		return nil
	}
	index := &tenants{byKey: make(map[catalog.KeyDigest]*catalog.Tenant), byTag: make(map[string]*catalog.Tenant), byName: make(map[string]*catalog.Tenant, len(configured))}
	for position := range configured {
		tenant := &configured[position]
		index.byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			index.byKey[key] = tenant
			index.byTag[key.Tag()] = tenant
		}
		index.maxRate = max(index.maxRate, tenant.RatePerSecond)
	}
	index.computeWeights(configured)
	return index
}

// computeWeights sets the weight of tenants without a limit and that of unknown tenants.
func (t *tenants) computeWeights(configured []catalog.Tenant) {
	if t.maxRate == 0 {
		t.maxRate = 1
	}
	t.meanWeight = t.maxRate
	if len(configured) == 0 {
		return
	}
	total := 0.0
	for position := range configured {
		total += t.weight(&configured[position])
	}
	t.meanWeight = total / float64(len(configured))
}

func (t *tenants) weight(tenant *catalog.Tenant) float64 {
	if tenant.RatePerSecond > 0 {
		return tenant.RatePerSecond
	}
	return t.maxRate
}

// TenantWeight returns a tenant's weight relative to others: its limit in requests a second,
// the highest limit of any tenant if it has none, and the mean weight if it is unknown. It is 1
// if there are no tenants.
func (v *View) TenantWeight(name string) float64 {
	switch tenant := v.Tenant(name); {
	case v.tenants == nil:
		return 1
	case tenant == nil:
		return v.tenants.meanWeight
	default:
		return v.tenants.weight(tenant)
	}
}

// HasTenants reports whether callers need a tenant's key for routes that are not public.
func (v *View) HasTenants() bool { return v.tenants != nil }

// TenantOf returns the tenant with a key, or nil if there is none.
func (v *View) TenantOf(key catalog.KeyDigest) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byKey[key]
}

// TenantOfTag returns the tenant with a key that has this tag, or nil if there is none.
func (v *View) TenantOfTag(tag string) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byTag[tag]
}

// Tenant returns the tenant of that name, or nil if there is none.
func (v *View) Tenant(name string) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byName[name]
}

// SetTenants replaces the tenants of a view. It must not be called after the view was
// published.
func (v *View) SetTenants(configured []catalog.Tenant) { v.tenants = newTenants(configured) }

package snapshot

import "sliphead/internal/catalog"

// tenants finds the tenants of a configuration.
type tenants struct {
	byKey  map[catalog.KeyDigest]*catalog.Tenant
	byTag  map[string]*catalog.Tenant
	byName map[string]*catalog.Tenant
	most   float64 // the highest limit, in requests a second; 1 where there is none
	usual  float64 // the mean of the tenants' weights
}

// newTenants returns the index of a configuration's tenants, nil where callers need no key.
func newTenants(held []catalog.Tenant) *tenants {
	if held == nil {
		return nil
	}
	index := &tenants{byKey: make(map[catalog.KeyDigest]*catalog.Tenant), byTag: make(map[string]*catalog.Tenant), byName: make(map[string]*catalog.Tenant, len(held))}
	for place := range held {
		tenant := &held[place]
		index.byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			index.byKey[key] = tenant
			index.byTag[key.Tag()] = tenant
		}
		index.most = max(index.most, tenant.RatePerSecond)
	}
	index.weigh(held)
	return index
}

// weigh finds what the weights of tenants without a limit, and of unknown ones, are.
func (t *tenants) weigh(held []catalog.Tenant) {
	if t.most == 0 {
		t.most = 1
	}
	t.usual = t.most
	if len(held) == 0 {
		return
	}
	total := 0.0
	for place := range held {
		total += t.weight(&held[place])
	}
	t.usual = total / float64(len(held))
}

func (t *tenants) weight(tenant *catalog.Tenant) float64 {
	if tenant.RatePerSecond > 0 {
		return tenant.RatePerSecond
	}
	return t.most
}

// TenantWeight returns how much a tenant may have in proportion to others: as its limit
// says, as the tenant with the highest one where it has none, and as much as tenants have
// in the middle where it is not known.
func (v *View) TenantWeight(name string) float64 {
	switch tenant := v.Tenant(name); {
	case v.tenants == nil:
		return 1
	case tenant == nil:
		return v.tenants.usual
	default:
		return v.tenants.weight(tenant)
	}
}

// HasTenants reports whether callers need a tenant's key, but for public routes.
func (v *View) HasTenants() bool { return v.tenants != nil }

// TenantOf returns the tenant that holds a key, nil if none does.
func (v *View) TenantOf(key catalog.KeyDigest) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byKey[key]
}

// TenantOfTag returns the tenant that holds the key with a tag, nil if none does.
func (v *View) TenantOfTag(tag string) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byTag[tag]
}

// Tenant returns the tenant of that name, nil if there is none.
func (v *View) Tenant(name string) *catalog.Tenant {
	if v.tenants == nil {
		return nil
	}
	return v.tenants.byName[name]
}

// SetTenants puts tenants in force in a view that is not published yet.
func (v *View) SetTenants(held []catalog.Tenant) { v.tenants = newTenants(held) }

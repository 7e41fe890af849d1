package snapshot

import "sliphead/internal/catalog"

// tenants finds the tenants of a configuration.
type tenants struct {
	byKey  map[catalog.KeyDigest]*catalog.Tenant
	byTag  map[string]*catalog.Tenant
	byName map[string]*catalog.Tenant
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
	}
	return index
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

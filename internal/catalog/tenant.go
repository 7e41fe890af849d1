package catalog

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"

	"sliphead/internal/fault"
)

// Tenant is a customer of the mesh. Its callers authenticate with one of its keys.
type Tenant struct {
	Name          string      `json:"name"`
	Keys          []KeyDigest `json:"keys"`
	Priority      int         `json:"priority"`                // 0 is served first; takes precedence over the route's priority
	RatePerSecond float64     `json:"ratePerSecond,omitempty"` // maximum rate over the whole mesh; 0: unlimited
	Burst         float64     `json:"burst,omitempty"`         // additional requests allowed after a pause
	Regions       []string    `json:"regions,omitempty"`       // regions that its requests may not leave; empty: any region
}

// KeyDigest is the digest of a tenant's key. Nodes store and exchange only digests, so that
// neither a log nor a message between nodes discloses a key, and the duration of a lookup by
// digest reveals nothing about the key.
type KeyDigest [digestLength]byte

// Lengths in bytes. With sixteen, no two keys share a digest; six distinguish the keys of one
// mesh in a log line or in a message that names a key.
const (
	digestLength = 16
	tagLength    = 6
)

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestLength])
}

// Tag returns a short name of the key that may be logged.
func (d KeyDigest) Tag() string { return base64.RawURLEncoding.EncodeToString(d[:tagLength]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	read, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(read) != digestLength {
		return fault.New(fault.Peer, "run the same release on all nodes", "%q is not a key digest", text)
	}
	*d = KeyDigest(read)
	return nil
}

func (t *Tenant) equals(other *Tenant) bool {
	return t.Name == other.Name && t.Priority == other.Priority && t.RatePerSecond == other.RatePerSecond && t.Burst == other.Burst &&
		slices.Equal(t.Keys, other.Keys) && slices.Equal(t.Regions, other.Regions)
}

// TenantChange leads from the tenants of one configuration to those of another.
type TenantChange struct {
	// None means that the later configuration has no tenant list, so that its callers need no
	// key. With an empty list of tenants, no caller is admitted.
	None   bool     `json:"none,omitempty"`
	Put    []Tenant `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"` // names
}

// newTenantChange returns the change between two lists of tenants, nil if they are the same.
func newTenantChange(from, to []Tenant) *TenantChange {
	if to == nil && from == nil {
		return nil
	}
	if to == nil {
		return &TenantChange{None: true}
	}
	change := TenantChange{}
	before := make(map[string]*Tenant, len(from))
	for index := range from {
		before[from[index].Name] = &from[index]
	}
	for index := range to {
		tenant := &to[index]
		if previous := before[tenant.Name]; previous == nil || !previous.equals(tenant) {
			change.Put = append(change.Put, *tenant)
		}
		delete(before, tenant.Name)
	}
	change.Remove = slices.Sorted(maps.Keys(before))
	if from != nil && len(change.Put) == 0 && len(change.Remove) == 0 {
		return nil
	}
	return &change
}

// applyTo returns the tenants that the change leads to.
func (c *TenantChange) applyTo(from []Tenant) []Tenant {
	if c == nil {
		return from
	}
	if c.None {
		return nil
	}
	put := make(map[string]Tenant, len(c.Put))
	for _, tenant := range c.Put {
		put[tenant.Name] = tenant
	}
	to := make([]Tenant, 0, len(from)+len(c.Put))
	for _, tenant := range from {
		changed, replaced := put[tenant.Name]
		switch {
		case slices.Contains(c.Remove, tenant.Name):
		case replaced:
			to = append(to, changed)
			delete(put, tenant.Name)
		default:
			to = append(to, tenant)
		}
	}
	for _, tenant := range c.Put {
		if _, added := put[tenant.Name]; added {
			to = append(to, tenant)
		}
	}
	return to
}

// validateTenants rejects duplicate names, shared keys and negative limits.
func (c *Configuration) validateTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	holders := make(map[KeyDigest]string)
	for index := range c.Tenants {
		tenant := &c.Tenants[index]
		switch {
		case tenant.Name == "":
			return fault.New(fault.Declaration, "name each tenant", "tenant %d has no name", index)
		case names[tenant.Name]:
			return fault.New(fault.Declaration, "give each tenant a name of its own", "two tenants are named %q", tenant.Name)
		case tenant.RatePerSecond < 0 || tenant.Burst < 0:
			return fault.New(fault.Declaration, "give limits of zero or more", "tenant %q has a limit of %g requests a second and a burst of %g", tenant.Name, tenant.RatePerSecond, tenant.Burst)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if other, shared := holders[key]; shared && other != tenant.Name {
				return fault.New(fault.Declaration, "give each tenant keys of its own", "tenants %q and %q have the same key", other, tenant.Name)
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}

package traffic

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/snapshot"
)

// Of the header in which a caller gives its tenant's key.
const (
	keyHeader = "Authorization"
	keyScheme = "Bearer"
)

// credential says on whose account a request runs. The node that took the request finds
// the tenant by the caller's key; the worker's node believes it, unless it knows of a later
// configuration without that key. The key itself stays at the first node.
type credential struct {
	name    string // of the tenant; "": none
	tag     string // of the key
	version uint64 // of the configuration that knew the key
}

// credentialSeparator is escaped in names.
const credentialSeparator = ","

const versionBase = 36

// encode returns the fields, joined, "" for no tenant.
func (c credential) encode() string {
	if c.name == "" {
		return ""
	}
	return strings.Join([]string{url.PathEscape(c.name), c.tag, strconv.FormatUint(c.version, versionBase)}, credentialSeparator)
}

// decodeCredential reads what encode wrote.
func decodeCredential(text string) (credential, bool) {
	if text == "" {
		return credential{}, true
	}
	const parts = 3
	split := strings.Split(text, credentialSeparator)
	if len(split) != parts {
		return credential{}, false
	}
	name, nameErr := url.PathUnescape(split[0])
	version, versionErr := strconv.ParseUint(split[2], versionBase, 64)
	return credential{name: name, tag: split[1], version: version}, nameErr == nil && versionErr == nil && name != ""
}

// asOf returns the credential as a view of a later configuration knows it: a key may have
// moved to another tenant since. One that no tenant holds any more stays as it is.
func (c credential) asOf(view *snapshot.View) credential {
	if c.name == "" || view.Version.Revision <= c.version {
		return c
	}
	tenant := view.TenantOfTag(c.tag)
	if tenant == nil {
		return c
	}
	return credential{name: tenant.Name, tag: c.tag, version: view.Version.Revision}
}

// withdrawnBy reports whether a view is of a later configuration than the one that knew the
// key, and one in which the tenant no longer holds it.
func (c credential) withdrawnBy(view *snapshot.View) bool {
	if c.name == "" || !view.HasTenants() || view.Version.Revision <= c.version {
		return false
	}
	tenant := view.Tenant(c.name)
	return tenant == nil || !slices.ContainsFunc(tenant.Keys, func(held catalog.KeyDigest) bool { return held.Tag() == c.tag })
}

// authenticate finds the tenant whose key the caller gave. The key goes no further than
// this: the request's header loses it here.
func (out *Outbound) authenticate(next stage) stage {
	return func(x *exchange) result {
		if !x.view.HasTenants() {
			return next(x)
		}
		if key, given := takeKey(x.request.Header); given {
			x.identify(key)
		}
		if refused := out.refuseCaller(x); refused != nil {
			return *refused
		}
		return next(x)
	}
}

// identify notes the tenant that holds the key, if there is one.
func (x *exchange) identify(key catalog.KeyDigest) {
	tenant := x.view.TenantOf(key)
	if tenant == nil {
		return
	}
	x.tenant = credential{name: tenant.Name, tag: key.Tag(), version: x.view.Version.Revision}
	x.class.tenant = tenant.Priority
}

// refuseCaller refuses a request whose route needs a key and whose caller gave none that a
// tenant holds, nil if it may go on. A caller does not repeat what is answered 401, so a
// node that may not have heard of the key yet has the request sent again instead.
func (out *Outbound) refuseCaller(x *exchange) *result {
	if x.route.Public {
		return nil
	}
	known := x.tenant.name != ""
	if known && out.config.Limits.KeysFailClosed <= 0 {
		return nil
	}
	x.knowledgeAge = out.config.knowledgeAge()
	switch {
	case isOlder(x.knowledgeAge, out.config.Limits.KeysFailClosed):
		return refuseStaleKeys()
	case !known:
		return out.config.rejectCaller(x)
	default:
		return nil
	}
}

// isOlder reports whether an age is beyond a bound; 0 is no bound.
func isOlder(age, bound time.Duration) bool { return bound > 0 && age > bound }

// knowledgeAge is how long ago this node was last known to hold the newest configuration.
func (c *Config) knowledgeAge() time.Duration {
	if c.KnowledgeAge == nil {
		return 0
	}
	return c.KnowledgeAge()
}

// rejectCaller refuses a request whose key no tenant holds, as far as this node knows: for
// good, or, if it may not have heard of the key yet, until it has.
func (c *Config) rejectCaller(x *exchange) *result {
	x.knowledgeAge = c.knowledgeAge()
	if isOlder(x.knowledgeAge, c.Limits.KeysInForce) {
		return refuseStaleKeys()
	}
	refused := rejectKey()
	return &refused
}

// recheckCaller refuses a request whose key was withdrawn since the last look, before it
// is offered to a node, nil if it may go on. On a public route it goes on without a tenant.
func (out *Outbound) recheckCaller(x *exchange) *result {
	if x.tenant.name == "" {
		return nil
	}
	view, _ := out.config.Holder.Current(x.started)
	x.tenant = x.tenant.asOf(view)
	if x.tenant.withdrawnBy(view) {
		return out.config.loseTenant(x, x.route)
	}
	return out.refuseCaller(x)
}

// loseTenant is what becomes of a request whose key was withdrawn: its route, nil if it is
// not known, may take callers without one.
func (c *Config) loseTenant(x *exchange, route *snapshot.Route) *result {
	if route == nil || !route.Public {
		return c.rejectCaller(x)
	}
	x.tenant = credential{}
	return nil
}

// takeKey removes the caller's key from a request and returns its digest, false when
// there is none, or more than one.
func takeKey(header http.Header) (catalog.KeyDigest, bool) {
	values := header[keyHeader]
	delete(header, keyHeader)
	if len(values) != 1 {
		return catalog.KeyDigest{}, false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, keyScheme) || key == "" {
		return catalog.KeyDigest{}, false
	}
	return catalog.DigestKey(key), true
}

// refuseStaleKeys is the refusal of a node whose knowledge of keys is too old to be gone by.
func refuseStaleKeys() *result {
	refused := refuse(causeStaleKeys, 0, "send it again, this node has not heard lately which keys are in force")
	refused.retryAfter = knowledgeWait
	return &refused
}

// rejectKey is the answer to a caller who gave no key that a tenant holds.
func rejectKey() result {
	return reject(http.StatusUnauthorized, causeKey, "send the key of a tenant, this one is not known or was withdrawn")
}

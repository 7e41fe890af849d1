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

// Name and scheme of the header in which a caller sends its tenant's key.
const (
	keyHeader = "Authorization"
	keyScheme = "Bearer"
)

// credential identifies the tenant of a request. The node that accepts the request finds the
// tenant by the caller's key. The worker's node trusts it, unless it has a later configuration
// without that key. The key itself is not passed on by the first node.
type credential struct {
	name     string // name of the tenant; "": none
	tag      string // tag of the key
	revision uint64 // revision of the configuration in which the key was found
}

// credentialSeparator separates the encoded fields; it is escaped in names.
const credentialSeparator = ","

const revisionBase = 36

// encode returns the joined fields, or "" for no tenant.
func (c credential) encode() string {
	if c.name == "" {
		return ""
	}
	return strings.Join([]string{url.PathEscape(c.name), c.tag, strconv.FormatUint(c.revision, revisionBase)}, credentialSeparator)
}

// decodeCredential decodes the output of encode. It returns false if the text is invalid.
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
	revision, revisionErr := strconv.ParseUint(split[2], revisionBase, 64)
	return credential{name: name, tag: split[1], revision: revision}, nameErr == nil && revisionErr == nil && name != ""
}

// asOf returns the credential according to a view: if the view is of a later configuration, the
// key may have moved to another tenant since. A key that no tenant has any more leaves the
// credential unchanged.
func (c credential) asOf(view *snapshot.View) credential {
	if c.name == "" || view.Version.Revision <= c.revision {
		return c
	}
	tenant := view.TenantOfTag(c.tag)
	if tenant == nil {
		return c
	}
	return credential{name: tenant.Name, tag: c.tag, revision: view.Version.Revision}
}

// withdrawnBy reports whether a view is of a later configuration than the one in which the key
// was found, and the tenant no longer has the key in it.
func (c credential) withdrawnBy(view *snapshot.View) bool {
	if c.name == "" || !view.HasTenants() || view.Version.Revision <= c.revision {
		return false
	}
	tenant := view.Tenant(c.name)
	return tenant == nil || !slices.ContainsFunc(tenant.Keys, func(digest catalog.KeyDigest) bool { return digest.Tag() == c.tag })
}

// authenticate identifies the tenant by the caller's key, and removes the key from the request's
// header so that it is not passed on.
func (out *Outbound) authenticate(next stage) stage {
	return func(x *exchange) result {
		if !x.view.HasTenants() {
			return next(x)
		}
		if key, given := extractKey(x.request.Header); given {
			x.identify(key)
		}
		if refused := out.refuseCaller(x); refused != nil {
			return *refused
		}
		return next(x)
	}
}

// identify sets the tenant that has the key, if there is one.
func (x *exchange) identify(key catalog.KeyDigest) {
	tenant := x.view.TenantOf(key)
	if tenant == nil {
		return
	}
	x.tenant = credential{name: tenant.Name, tag: key.Tag(), revision: x.view.Version.Revision}
	x.class.tenantPriority = tenant.Priority
}

// refuseCaller refuses a request whose route requires a key and whose caller sent none that a
// tenant has. It returns nil if the request may continue. Callers do not retry after a 401, so a
// node that may not have received the key yet asks for a retry instead.
func (out *Outbound) refuseCaller(x *exchange) *result {
	if x.route.Public {
		return nil
	}
	identified := x.tenant.name != ""
	if identified && out.config.Limits.KeysFailClosed <= 0 {
		return nil
	}
	x.configurationAge = out.config.configurationAge()
	switch {
	case isOlder(x.configurationAge, out.config.Limits.KeysFailClosed):
		return refuseStaleKeys()
	case !identified:
		return out.config.rejectCaller(x)
	default:
		return nil
	}
}

// isOlder reports whether an age exceeds a bound; a bound of 0 means none.
func isOlder(age, bound time.Duration) bool { return bound > 0 && age > bound }

// configurationAge returns how long ago this node was last known to have the latest configuration.
func (c *Config) configurationAge() time.Duration {
	if c.ConfigurationAge == nil {
		return 0
	}
	return c.ConfigurationAge()
}

// rejectCaller refuses a request whose key no tenant has in this node's configuration. The
// rejection is final, unless the configuration is so old that the key may have been added since.
func (c *Config) rejectCaller(x *exchange) *result {
	x.configurationAge = c.configurationAge()
	if isOlder(x.configurationAge, c.Limits.KeysInForce) {
		return refuseStaleKeys()
	}
	refused := rejectKey()
	return &refused
}

// recheckCaller refuses a request whose key was withdrawn since the last check, before the
// request is offered to a node. It returns nil if the request may continue. On a public route it
// continues without a tenant.
func (out *Outbound) recheckCaller(x *exchange) *result {
	if x.tenant.name == "" {
		return nil
	}
	view, _ := out.config.Holder.Current(x.started)
	x.tenant = x.tenant.asOf(view)
	if x.tenant.withdrawnBy(view) {
		return out.config.dropTenant(x, x.route)
	}
	return out.refuseCaller(x)
}

// dropTenant removes the tenant from a request whose key was withdrawn if its route is public,
// and otherwise returns the refusal. The route is nil if it is unknown.
func (c *Config) dropTenant(x *exchange, route *snapshot.Route) *result {
	if route == nil || !route.Public {
		return c.rejectCaller(x)
	}
	x.tenant = credential{}
	return nil
}

// extractKey removes the caller's key from a request's header and returns its digest. It returns
// false if there is no key, or more than one.
func extractKey(header http.Header) (catalog.KeyDigest, bool) {
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

// refuseStaleKeys returns the refusal of a node whose set of keys is too old to decide by.
func refuseStaleKeys() *result {
	refused := refuse(causeStaleKeys, 0, "send it again, this node has not heard lately which keys are in force")
	refused.retryAfter = missingDataRetryAfter
	return &refused
}

// rejectKey returns the final rejection of a caller that sent no key of a tenant.
func rejectKey() result {
	return reject(http.StatusUnauthorized, causeKey, "send the key of a tenant, this one is not known or was withdrawn")
}

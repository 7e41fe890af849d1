package traffic

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

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
		key, given := takeKey(x.request.Header)
		var tenant *catalog.Tenant
		if given {
			tenant = x.view.TenantOf(key)
		}
		if tenant == nil && !x.route.Public {
			return rejectKey()
		}
		if tenant != nil {
			x.tenant = credential{name: tenant.Name, tag: key.Tag(), version: x.view.Version.Revision}
		}
		return next(x)
	}
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

// rejectKey is the answer to a caller who gave no key that a tenant holds.
func rejectKey() result {
	return reject(http.StatusUnauthorized, causeKey, "send the key of a tenant, this one is not known or was withdrawn")
}

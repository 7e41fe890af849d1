package traffic

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// Whatever a caller sends as its key, the header must be removed, and only the exact key may
// identify a tenant.
func FuzzKeyHeader(f *testing.F) {
	for _, text := range []string{"Bearer " + pressKey, "bearer  " + pressKey + " ", "Bearer", "", "Basic " + pressKey, "Bearer " + pressKey + ",x", "Bearer\t" + pressKey} {
		f.Add(text, false)
		f.Add(text, true)
	}
	view := snapshot.NewView(version.Version{Revision: 1}, time.Now(), nil)
	view.SetTenants(pressTenant())
	f.Fuzz(func(t *testing.T, text string, twice bool) {
		header := http.Header{keyHeader: {text}, "Other": {"kept"}}
		if twice {
			header[keyHeader] = append(header[keyHeader], text)
		}
		key, given := extractKey(header)
		must.Eq(t, http.Header{"Other": {"kept"}}, header)
		if given && view.TenantOf(key) != nil {
			scheme, rest, _ := strings.Cut(text, " ")
			must.False(t, twice)
			must.True(t, strings.EqualFold(keyScheme, scheme))
			must.Eq(t, pressKey, strings.TrimSpace(rest))
		}
		if !given {
			must.Eq(t, catalog.KeyDigest{}, key)
		}
	})
}

// Any text is either rejected or decoded to a request that is equal after encoding and decoding
// it again.
func FuzzHopRequest(f *testing.F) {
	whole := hopRequest{
		attempt: "a1", instance: "i-1", caller: "shop", route: "order",
		class: class{tenantPriority: 2, rank: 1, repeatable: true, objective: 30_000_000}, tenant: credential{name: "a;b,c", tag: "tag", revision: 35},
	}
	f.Add(whole.encode())
	f.Add("a1;i-1;;order;1;;0;0;")
	f.Add("a1;i-1;;order;1.;;0;0;")
	f.Add("a1;i-1;;order;-1.-1;r;-5;0;%zz,,zz")
	f.Add(strings.Repeat(";", 8))
	f.Fuzz(func(t *testing.T, text string) {
		decoded, valid := decodeHopRequest(text)
		if !valid {
			return
		}
		again, valid := decodeHopRequest(decoded.encode())
		must.True(t, valid)
		must.Eq(t, decoded, again)
	})
}

// A credential must be decoded as it was encoded, whatever the name of the tenant.
func FuzzCredential(f *testing.F) {
	f.Add("press", uint64(1))
	f.Add("a;b,c%2C/\r\n é", uint64(1<<63))
	f.Fuzz(func(t *testing.T, name string, revision uint64) {
		sent := credential{name: name, tag: catalog.DigestKey(name).Tag(), revision: revision}
		if name == "" {
			sent = credential{}
		}
		text := sent.encode()
		must.StrNotContains(t, text, hopSeparator)
		must.False(t, strings.ContainsAny(text, "\r\n\x00"))
		decoded, valid := decodeCredential(text)
		must.True(t, valid)
		must.Eq(t, sent, decoded)
	})
}

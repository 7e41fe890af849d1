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

// Whatever a caller sends as its key: the header is gone, and nobody is let in but by the
// key itself.
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
		key, given := takeKey(header)
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

// Whatever a node is told, it reads it or not; and what it has read says the same again.
func FuzzHopRequest(f *testing.F) {
	whole := hopRequest{
		attempt: "a1", instance: "i-1", caller: "shop", route: "order",
		class: class{tenant: 2, rank: 1, repeatable: true, objective: 30_000_000}, tenant: credential{name: "a;b,c", tag: "tag", version: 35},
	}
	f.Add(whole.encode())
	f.Add("a1;i-1;;order;1;;0;0;")
	f.Add("a1;i-1;;order;1.;;0;0;")
	f.Add("a1;i-1;;order;-1.-1;r;-5;0;%zz,,zz")
	f.Add(strings.Repeat(";", 8))
	f.Fuzz(func(t *testing.T, text string) {
		read, sound := decodeHopRequest(text)
		if !sound {
			return
		}
		again, sound := decodeHopRequest(read.encode())
		must.True(t, sound)
		must.Eq(t, read, again)
	})
}

// A credential is read as it was written, whatever the name of the tenant.
func FuzzCredential(f *testing.F) {
	f.Add("press", uint64(1))
	f.Add("a;b,c%2C/\r\n é", uint64(1<<63))
	f.Fuzz(func(t *testing.T, name string, known uint64) {
		told := credential{name: name, tag: catalog.DigestKey(name).Tag(), version: known}
		if name == "" {
			told = credential{}
		}
		text := told.encode()
		must.StrNotContains(t, text, hopSeparator)
		must.False(t, strings.ContainsAny(text, "\r\n\x00"))
		read, sound := decodeCredential(text)
		must.True(t, sound)
		must.Eq(t, told, read)
	})
}

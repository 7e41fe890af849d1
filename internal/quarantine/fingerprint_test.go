package quarantine

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Copies of a request must have the same fingerprint, and requests that differ in any part must
// have different ones.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	request := Request{Method: "POST", Host: "shop.example", Target: "/order/7?page=1", Body: []byte("cards")}
	same := request
	same.Body = []byte("cards")
	must.Eq(t, request.Fingerprint(), same.Fingerprint())
	for name, other := range map[string]Request{
		"method":            {Method: "PUT", Host: "shop.example", Target: "/order/7?page=1", Body: []byte("cards")},
		"host":              {Method: "POST", Host: "shop.examplf", Target: "/order/7?page=1", Body: []byte("cards")},
		"query":             {Method: "POST", Host: "shop.example", Target: "/order/7?page=2", Body: []byte("cards")},
		"one byte of body":  {Method: "POST", Host: "shop.example", Target: "/order/7?page=1", Body: []byte("carda")},
		"no body":           {Method: "POST", Host: "shop.example", Target: "/order/7?page=1"},
		"ends of its parts": {Method: "POST", Host: "shop.exampl", Target: "e/order/7?page=1", Body: []byte("cards")},
	} {
		must.NotEq(t, request.Fingerprint(), other.Fingerprint(), must.Sprint(name))
		sameHead := name == "one byte of body" || name == "no body"
		must.Eq(t, sameHead, request.Head() == other.Head(), must.Sprint(name))
		must.Eq(t, other.Head(), other.Fingerprint().Head())
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	request := Request{Method: "GET", Host: "shop.example", Target: "/a"}
	written := request.Fingerprint()
	read, err := ParseFingerprint(written.String())
	must.NoError(t, err)
	must.Eq(t, written, read)
	for _, text := range []string{"", "a", "!!!!!!!!!!!!!!!!!!!!!!", written.String() + "AAAA"} {
		_, err := ParseFingerprint(text)
		must.Error(t, err)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, length := range map[string]int{"no body": 0, "1 kB": 1 << 10, "128 kB": 128 << 10} {
		request := Request{Method: "POST", Host: "shop.example", Target: "/order/7?page=1", Body: make([]byte, length)}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request.Fingerprint()
			}
		})
	}
}

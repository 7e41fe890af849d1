package echo

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestVerifyRejectsIncompleteForeignAndAlteredResponses(t *testing.T) {
	expected := Expectation{Nonce: "n1", Path: "/p", BodyDigest: Digest([]byte("b")), BodyBytes: 1, FillerBytes: 100}
	complete := Response{Worker: "w", Nonce: "n1", Path: "/p", BodyBytes: 1, BodyDigest: Digest([]byte("b")), Filler: Filler("n1", 100)}
	encode := func(edit func(*Response)) []byte {
		response := complete
		edit(&response)
		body, err := json.Marshal(response)
		must.NoError(t, err)
		return body
	}
	response, err := expected.Verify(encode(func(*Response) {}))
	must.NoError(t, err)
	must.Eq(t, "w", response.Worker)

	body := encode(func(*Response) {})
	for name, wrongBody := range map[string][]byte{
		"is incomplete":         body[:len(body)/2],
		"belongs to n2":         encode(func(a *Response) { a.Nonce = "n2" }),
		"is for path /q":        encode(func(a *Response) { a.Path = "/q" }),
		"received another body": encode(func(a *Response) { a.BodyBytes = 0 }),
		"filler":                encode(func(a *Response) { a.Filler = a.Filler[:50] }),
	} {
		_, err := expected.Verify(wrongBody)
		must.ErrorContains(t, err, name)
	}
}

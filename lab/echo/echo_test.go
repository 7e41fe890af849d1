package echo

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestVerifyRefusesCutForeignAndChangedAnswers(t *testing.T) {
	expected := Expectation{Nonce: "n1", Path: "/p", BodyDigest: Digest([]byte("b")), BodyBytes: 1, AnswerBytes: 100}
	whole := Answer{Worker: "w", Nonce: "n1", Path: "/p", BodyBytes: 1, BodyDigest: Digest([]byte("b")), Filler: Filler("n1", 100)}
	encode := func(edit func(*Answer)) []byte {
		answer := whole
		edit(&answer)
		body, err := json.Marshal(answer)
		must.NoError(t, err)
		return body
	}
	answer, err := expected.Verify(encode(func(*Answer) {}))
	must.NoError(t, err)
	must.Eq(t, "w", answer.Worker)

	body := encode(func(*Answer) {})
	for name, wrongBody := range map[string][]byte{
		"is not whole":      body[:len(body)/2],
		"belongs to n2":     encode(func(a *Answer) { a.Nonce = "n2" }),
		"is for path /q":    encode(func(a *Answer) { a.Path = "/q" }),
		"read another body": encode(func(a *Answer) { a.BodyBytes = 0 }),
		"filler":            encode(func(a *Answer) { a.Filler = a.Filler[:50] }),
	} {
		_, err := expected.Verify(wrongBody)
		must.ErrorContains(t, err, name)
	}
}

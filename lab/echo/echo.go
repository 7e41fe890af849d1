// Package echo defines the answers of the stand-in workers, so that a caller
// can verify that an answer is whole and belongs to its own request.
package echo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"sliphead/internal/fault"
)

// The headers by which a caller asks for a certain run.
const (
	HeaderNonce       = "Lab-Nonce"        // names the request; returned in the answer
	HeaderAttempt     = "Lab-Attempt"      // counts the submissions of one request, from 1
	HeaderAnswerBytes = "Lab-Answer-Bytes" // length of the filler in the answer
	HeaderRunMicros   = "Lab-Run-Micros"   // time to run, microseconds; the worker's own setting when absent
	HeaderCalls       = "Lab-Calls"        // comma-separated paths to call on through the worker's node, one per level
)

// MaxFiller bounds the filler of an answer, bytes.
const MaxFiller = 64 << 20

// Answer is the body of a worker's answer.
type Answer struct {
	Worker     string `json:"worker"`
	Service    string `json:"service"`
	Nonce      string `json:"nonce"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest string `json:"bodyDigest"` // SHA-256 of the request's body, hexadecimal
	Nested     string `json:"nested,omitempty"`
	Filler     string `json:"filler"`
}

// Filler returns size bytes derived from the nonce.
func Filler(nonce string, size int) string {
	if size <= 0 {
		return ""
	}
	block := Digest([]byte(nonce))
	repeated := strings.Repeat(block, size/len(block)+1)
	return repeated[:size]
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Expectation is what a whole own answer must hold.
type Expectation struct {
	Nonce       string
	Path        string
	BodyDigest  string
	BodyBytes   int64
	AnswerBytes int
}

// Verify reads an answer and returns an error if it is not whole or belongs to
// another request.
func (e Expectation) Verify(body []byte) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, wrong(err, "answer to %s is not whole", e.Nonce)
	}
	switch {
	case answer.Nonce != e.Nonce:
		return answer, wrong(nil, "answer to %s belongs to %s", e.Nonce, answer.Nonce)
	case answer.Path != e.Path:
		return answer, wrong(nil, "answer to %s is for path %s, want %s", e.Nonce, answer.Path, e.Path)
	case answer.BodyDigest != e.BodyDigest || answer.BodyBytes != e.BodyBytes:
		return answer, wrong(nil, "worker %s read another body for %s: %d bytes, want %d", answer.Worker, e.Nonce, answer.BodyBytes, e.BodyBytes)
	case answer.Filler != Filler(e.Nonce, e.AnswerBytes):
		return answer, wrong(nil, "filler of the answer to %s has %d bytes or other content, want %d", e.Nonce, len(answer.Filler), e.AnswerBytes)
	}
	return answer, nil
}

func wrong(cause error, format string, args ...any) error {
	const remedy = "find the hop that mixed or cut the answer by its request id in the nodes' logs"
	if cause != nil {
		return fault.Wrap(cause, fault.Worker, remedy, format, args...)
	}
	return fault.New(fault.Worker, remedy, format, args...)
}

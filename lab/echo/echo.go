// Package echo defines the responses of the stand-in workers, with which a caller
// can verify that a response is complete and belongs to its request.
package echo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"sliphead/internal/fault"
)

// The request headers that determine how a worker runs a request.
const (
	HeaderNonce       = "Lab-Nonce"        // identifies the request; returned in the response
	HeaderAttempt     = "Lab-Attempt"      // number of the attempt of the request, from 1
	HeaderFillerBytes = "Lab-Answer-Bytes" // length of the filler in the response
	HeaderRunMicros   = "Lab-Run-Micros"   // run time in microseconds; the worker's setting when absent
	HeaderCalls       = "Lab-Calls"        // comma-separated paths of nested calls through the workers' nodes, one for each level
)

// MaxFiller limits the filler of a response, in bytes.
const MaxFiller = 64 << 20

// Response is the body of a worker's response.
type Response struct {
	Worker     string `json:"worker"`
	Service    string `json:"service"`
	Nonce      string `json:"nonce"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest string `json:"bodyDigest"` // SHA-256 of the request's body, hexadecimal
	Nested     string `json:"nested,omitempty"`
	Filler     string `json:"filler"`
}

// Filler returns a text of size bytes that is derived from the nonce.
func Filler(nonce string, size int) string {
	if size <= 0 {
		return ""
	}
	block := Digest([]byte(nonce))
	repeated := strings.Repeat(block, size/len(block)+1)
	return repeated[:size]
}

// Digest returns the SHA-256 hash of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Expectation holds the expected values of the response to a request.
type Expectation struct {
	Nonce       string
	Path        string
	BodyDigest  string
	BodyBytes   int64
	FillerBytes int
}

// Verify decodes a response and returns an error if it is incomplete or belongs to
// another request.
func (e Expectation) Verify(body []byte) (Response, error) {
	var response Response
	if err := json.Unmarshal(body, &response); err != nil {
		return response, verificationError(err, "response to %s is incomplete", e.Nonce)
	}
	switch {
	case response.Nonce != e.Nonce:
		return response, verificationError(nil, "response to %s belongs to %s", e.Nonce, response.Nonce)
	case response.Path != e.Path:
		return response, verificationError(nil, "response to %s is for path %s, want %s", e.Nonce, response.Path, e.Path)
	case response.BodyDigest != e.BodyDigest || response.BodyBytes != e.BodyBytes:
		return response, verificationError(nil, "worker %s received another body for %s: %d bytes, want %d", response.Worker, e.Nonce, response.BodyBytes, e.BodyBytes)
	case response.Filler != Filler(e.Nonce, e.FillerBytes):
		return response, verificationError(nil, "filler of the response to %s has %d bytes or unexpected content, want %d bytes", e.Nonce, len(response.Filler), e.FillerBytes)
	}
	return response, nil
}

func verificationError(cause error, format string, args ...any) error {
	const remedy = "search the nodes' logs for the request id to find the hop that mixed up or truncated the response"
	if cause != nil {
		return fault.Wrap(cause, fault.Worker, remedy, format, args...)
	}
	return fault.New(fault.Worker, remedy, format, args...)
}

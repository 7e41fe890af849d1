// Package quarantine keeps requests from the workers that end each worker that
// begins to run them. Such a request comes again under another id, at any node:
// copies are known by what they ask, and what becomes of them is told to all nodes.
package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"

	"sliphead/internal/fault"
)

// fingerprintBytes is the length of a Fingerprint: 2^48 tries on average to find two
// requests that share one, and 2^96 to find another one for a given request.
const fingerprintBytes = 12

// Fingerprint names all copies of a request, whatever their ids: requests that ask the
// same. It is the beginning of a SHA-256, so that nobody can make a request that
// passes for another.
type Fingerprint [fingerprintBytes]byte

// Request is what a fingerprint is made of. The caller's service is not part of it: what
// ends a worker is what it is asked, and copies come from machines of any service.
type Request struct {
	Method string
	Host   string
	Target string // path and query, as sent
	Body   []byte // whole, however it was framed
}

// Fingerprint digests the request. It costs 0.3 us for one without a body and 0.7 us for
// each kB of a body (BenchmarkFingerprint).
func (r Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		writePart(digest, part)
	}
	_, _ = digest.Write(r.Body) // a hash returns no error
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:fingerprintBytes])
}

// writePart writes a text behind its length, so that the ends of parts count.
func writePart(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:]) // a hash returns no error
	_, _ = io.WriteString(digest, part)
}

// String is the text by which logs, status and messages between nodes name a request.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// ParseFingerprint reads what String returned.
func ParseFingerprint(text string) (Fingerprint, error) {
	var read Fingerprint
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return read, fault.New(fault.Caller, "copy the fingerprint of a request from the log or from sliphead status", "%q is no fingerprint", text)
	}
	copy(read[:], decoded)
	return read, nil
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	read, err := ParseFingerprint(string(text))
	*f = read
	return err
}

// Package quarantine keeps requests from the workers that end each worker that
// begins to run them. Such a request comes again under another id, at any node:
// copies are known by what they ask, and what becomes of them is told to all nodes.
//
// The state is a set of records that only grows until they are old: which worker ended
// under which request, which request was tried again, which was let go. Nodes join what
// they know in any order, so none of them decides for the others and no message has to
// come, or to come once.
//
// The machine is pure: Step takes an event and the time and returns effects. The time is
// that of package clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"

	"sliphead/internal/fault"
)

// Parts of a Fingerprint, in bytes.
const (
	headBytes        = 4  // digest of all but the body: enough to spare most requests the digest of theirs
	wholeBytes       = 12 // digest of all: 2^96 tries to find a request that passes for a given other one
	fingerprintBytes = headBytes + wholeBytes
)

// Fingerprint names all copies of a request, whatever their ids: requests that ask the
// same. Its parts are the beginnings of SHA-256 digests, so that no caller can make a
// request that passes for another one.
type Fingerprint [fingerprintBytes]byte

// Head names all requests that differ from one another in their bodies alone.
type Head [headBytes]byte

// Request is what a fingerprint is made of. The caller's service is not part of it: what
// ends a worker is what it is asked, and copies come from machines of any service.
type Request struct {
	Method string
	Host   string
	Target string // path and query, as sent
	Body   []byte // whole, however it was framed
}

// Head digests all but the body.
func (r *Request) Head() Head {
	sum := r.digestHead()
	return Head(sum[:headBytes])
}

func (r *Request) digestHead() [sha256.Size]byte {
	digest := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		writePart(digest, part)
	}
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	return sum
}

// Fingerprint digests the request. It costs 0.5 us for one without a body and 0.7 us for
// each kB of a body (BenchmarkFingerprint).
func (r *Request) Fingerprint() Fingerprint {
	head := r.digestHead()
	digest := sha256.New()
	_, _ = digest.Write(head[:]) // a hash returns no error
	_, _ = digest.Write(r.Body)
	var whole [sha256.Size]byte
	digest.Sum(whole[:0])
	return Fingerprint(append(head[:headBytes:headBytes], whole[:wholeBytes]...))
}

// writePart writes a text behind its length, so that the ends of parts count.
func writePart(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:]) // a hash returns no error
	_, _ = io.WriteString(digest, part)
}

// Head returns the part that does not depend on the body.
func (f Fingerprint) Head() Head { return Head(f[:headBytes]) }

// String is the text by which logs, status and messages between nodes name a request.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// ParseFingerprint reads what String returned.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, fault.New(fault.Caller, "copy the fingerprint of a request from the log or from sliphead status", "%q is no fingerprint", text)
	}
	return Fingerprint(decoded), nil
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	read, err := ParseFingerprint(string(text))
	*f = read
	return err
}

package traffic

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"sliphead/internal/ascii"
	"sliphead/internal/outcome"
)

// Headers between two nodes. Callers and workers do not receive them, except for
// attemptHeader, which is also sent to the worker.
const (
	// attemptHeader names one attempt of one request. The worker's node echoes it, so that the
	// response is matched to the attempt. A worker that refuses before running the request
	// returns 503, outcome not-run and this header.
	attemptHeader = outcome.Attempt
	// finalHeader on a failure states that a lower level of the call tree has spent its
	// retries.
	finalHeader = "Sliphead-Final"
	// internalPrefix is the prefix of all headers of sliphead.
	internalPrefix = "Sliphead-"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1, and those that predate it).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the end-to-end headers. Headers of sliphead are omitted: each hop sets
// its own.
func copyEndToEnd(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if !strings.HasPrefix(name, internalPrefix) {
			to[name] = values
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	for _, list := range connection {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// contextFields returns the headers that carry the request's context to the next hop.
func (x *exchange) contextFields() []field {
	fields := make([]field, 0, usualFields)
	return append(fields,
		field{outcome.RequestID, x.id},
		field{outcome.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
		field{outcome.RetryBudget, strconv.Itoa(x.budget)},
		field{outcome.Depth, strconv.Itoa(x.depth)})
}

// fields sets headers of one value each. The values share an array, which saves an allocation
// per header.
type fields struct {
	header http.Header
	values []string
}

const usualFields = 8

func newFields(header http.Header) *fields {
	return &fields{header: header, values: make([]string, 0, usualFields)}
}

// set stores a value under a name in canonical form.
func (f *fields) set(name, value string) {
	f.values = append(f.values, value)
	last := len(f.values)
	f.header[name] = f.values[last-1 : last : last]
}

// get reads a value under a name in canonical form, "" if absent.
func get(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// number reads a header that holds a count, and returns the fallback if it is absent or
// invalid.
func number(header http.Header, name string, fallback int) int {
	value, err := strconv.Atoi(get(header, name))
	if err != nil || value < 0 {
		return fallback
	}
	return value
}

// Maximum lengths of request ids, in bytes.
const (
	maxIDLength       = 64
	maxCallerIDLength = 200 // of callers that use headers of their own
)

// validID reports whether a request id of sliphead's own interface, or the id of an attempt, may be
// used.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for index := range len(id) {
		if !idByte(id[index]) {
			return false
		}
	}
	return true
}

// validRequestID reports whether a caller's request id may be used. Callers that use headers of
// their own choose their ids freely: any that a header can carry without blanks.
func (p *Protocol) validRequestID(id string) bool {
	if p.isNative() {
		return validID(id)
	}
	return id != "" && len(id) <= maxCallerIDLength && ascii.IsVisible(id)
}

func idByte(b byte) bool {
	letter := b|0x20 >= 'a' && b|0x20 <= 'z'
	digit := b >= '0' && b <= '9'
	return letter || digit || b == '.' || b == '_' || b == '-'
}

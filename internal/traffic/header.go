package traffic

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"sliphead/internal/outcome"
)

// Headers between two nodes that no caller or worker sees, but for
// attemptHeader, which is also shown to the worker.
const (
	// attemptHeader names one try of one request. The worker's node echoes it,
	// so that the answer is matched to the try. A worker that refuses before
	// running says so by 503, outcome not-run and this header echoed.
	attemptHeader = outcome.Attempt
	// finalHeader on a failure says that a level below spent its retries.
	finalHeader = "Sliphead-Final"
	// internalPrefix starts the names of all headers of sliphead.
	internalPrefix = "Sliphead-"
)

// hopByHop lists the headers that end at each hop (RFC 9110, section 7.6.1,
// and those that predate it).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the headers that are meant for the other end. Headers of
// sliphead are left out: each hop sets its own.
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

// contextFields returns the headers that tell the next hop the request's context.
func (x *exchange) contextFields() []field {
	fields := make([]field, 0, usualFields)
	return append(fields,
		field{outcome.RequestID, x.id},
		field{outcome.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
		field{outcome.RetryBudget, strconv.Itoa(x.budget)},
		field{outcome.Depth, strconv.Itoa(x.depth)})
}

// fields sets headers of one value each. The values share an array, so that
// not each costs an allocation.
type fields struct {
	header http.Header
	values []string
}

const usualFields = 8

func newFields(header http.Header) *fields {
	return &fields{header: header, values: make([]string, 0, usualFields)}
}

// set stores a value under a name that is already in canonical form.
func (f *fields) set(name, value string) {
	f.values = append(f.values, value)
	last := len(f.values)
	f.header[name] = f.values[last-1 : last : last]
}

// get reads a value under a name that is already in canonical form.
func get(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// number reads a header that holds a count, the fallback when it is absent or
// nonsense.
func number(header http.Header, name string, fallback int) int {
	value, err := strconv.Atoi(get(header, name))
	if err != nil || value < 0 {
		return fallback
	}
	return value
}

const maxIDLength = 64

// validID reports whether a caller's request id may be kept.
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

func idByte(b byte) bool {
	letter := b|0x20 >= 'a' && b|0x20 <= 'z'
	digit := b >= '0' && b <= '9'
	return letter || digit || b == '.' || b == '_' || b == '-'
}

package responsecheck

import (
	"bytes"
	"math"
	"net/http"
	"strconv"

	"sliphead/internal/ascii"
)

// head is what the head of a response says of its framing.
type head struct {
	status    int
	isHTTP10  bool
	firstLine bool // whether the next line is the first of its fields
	isFraming bool // whether the last field determines the framing
	chunked   bool
	hasLength bool
	length    int64 // of the body in bytes, with hasLength
}

// reset returns the state before the first field of a head.
func (head) reset() head { return head{firstLine: true} }

// Positions in a status line: HTTP/1.x, a blank, a status of three digits.
const (
	minorVersionAt = len(versionPrefix)
	statusAt       = minorVersionAt + 2
	reasonAt       = statusAt + 3
)

// maxStatus is the highest status code (RFC 9110, section 15).
const maxStatus = 599

// readStatusLine reads a status line (RFC 9112, section 4). The reason phrase may be missing.
func (h *head) readStatusLine(line []byte) error {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(versionPrefix)) || !isDigits(line[minorVersionAt:minorVersionAt+1]) || line[statusAt-1] != ' ' {
		return errStatusLine()
	}
	code, reason := line[statusAt:reasonAt], line[reasonAt:]
	if !isDigits(code) || len(reason) > 0 && reason[0] != ' ' || bytes.ContainsFunc(reason, ascii.IsControl) {
		return errStatusLine()
	}
	h.status, _ = strconv.Atoi(string(code)) // three digits
	h.isHTTP10 = line[minorVersionAt] == '0'
	if h.status < http.StatusContinue || h.status > maxStatus {
		return violation("answer with a status from 100 to 599", "a response has status %s", code)
	}
	return nil
}

// readField reads a line of a field (RFC 9112, section 5). A value may be folded into several
// lines, except one that determines the framing.
func (h *head) readField(line []byte) error {
	first := h.firstLine
	h.firstLine = false
	if line[0] == ' ' || line[0] == '\t' {
		if first || h.isFraming {
			return violation("begin each header line with a name", "a line of a response's head begins with a blank")
		}
		return checkValue(line)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || !ascii.IsToken(name) {
		return violation("begin each header line with a name and a colon, without blanks and control characters", "a field of a response has the invalid name %q", shortened(name))
	}
	if err := checkValue(value); err != nil {
		return err
	}
	return h.readFraming(name, bytes.Trim(value, " \t"))
}

func checkValue(value []byte) error {
	if bytes.ContainsFunc(value, ascii.IsControl) {
		return violation("leave control characters out of header values", "a field of a response has a control character in its value")
	}
	return nil
}

// readFraming reads a field that determines the framing, and skips any other.
func (h *head) readFraming(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.isFraming = true
		return h.readLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.isFraming = true
		if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return violation("send the body in chunks without another coding", "a response has the Transfer-Encoding %q", shortened(value))
		}
		h.chunked = true
	default:
		h.isFraming = false
	}
	return nil
}

// readLength reads a Content-Length. It may stand twice if it is the same.
func (h *head) readLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || !isDigits(value) || h.hasLength && h.length != int64(length) {
		return violation("send one Content-Length", "a response has the Content-Length %q", shortened(value))
	}
	h.hasLength = true
	h.length = int64(length)
	return nil
}

// parseChunkSize parses the line before a chunk: its size in hexadecimal digits and extensions
// (RFC 9112, section 7.1).
func parseChunkSize(line []byte) (int64, bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	const base = 16
	size, err := strconv.ParseUint(string(digits), base, 64)
	return int64(size), err == nil && size <= math.MaxInt64 && !bytes.ContainsFunc(line, ascii.IsControl)
}

func isDigits(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' })
}

// shortened returns the beginning of a text, for error messages.
func shortened(text []byte) []byte {
	const longest = 40
	return text[:min(len(text), longest)]
}

func errStatusLine() error {
	return violation("begin each response with a status line of HTTP/1.1", "what arrived does not begin with a status line")
}

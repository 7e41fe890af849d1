package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"sync"

	"sliphead/internal/ascii"
)

// requestError rejects a request that can't be accepted: its remedy is sent in the response
// and the connection closes.
type requestError struct {
	status int
	remedy string
}

// Error implements error.
func (r *requestError) Error() string { return r.remedy }

func badRequest(remedy string) error { return &requestError{http.StatusBadRequest, remedy} }

// errHeadersTooLong rejects a header that exceeds the maximum size.
var errHeadersTooLong = &requestError{http.StatusRequestHeaderFieldsTooLarge, "send shorter headers"}

// headBuffers is a pool of buffers that hold one request's header while it is read.
var headBuffers = sync.Pool{New: func() any { return &headBuffer{lines: bufio.NewReader(nil)} }}

type headBuffer struct {
	text  []byte
	bytes bytes.Reader
	lines *bufio.Reader
}

// maxPooledBuffer is the maximum size in bytes of the header buffers that return to the pool.
const maxPooledBuffer = 8 << 10

// readRequest reads one request's header of at most maxBytes. The body stays in the reader.
func readRequest(reader *bufio.Reader, maxBytes int) (*http.Request, error) {
	buffer := headBuffers.Get().(*headBuffer)
	defer func() {
		if cap(buffer.text) <= maxPooledBuffer {
			headBuffers.Put(buffer)
		}
	}()
	buffer.text = buffer.text[:0]
	if err := buffer.read(reader, maxBytes); err != nil {
		return nil, err
	}
	buffer.bytes.Reset(buffer.text)
	buffer.lines.Reset(&buffer.bytes)
	request, err := http.ReadRequest(buffer.lines)
	if err != nil || request.ProtoMajor != 1 {
		return nil, badRequest("send a request of HTTP/1.1")
	}
	if expected := request.Header["Expect"]; len(expected) > 0 && !strings.EqualFold(expected[0], "100-continue") {
		return nil, &requestError{http.StatusExpectationFailed, "expect nothing but 100-continue"}
	}
	return request, nil
}

// read reads the lines of one header and checks them for ambiguity.
func (b *headBuffer) read(reader *bufio.Reader, maxBytes int) error {
	var check headerCheck
	for {
		start := len(b.text)
		if err := b.readLine(reader, maxBytes); err != nil {
			return err
		}
		line := b.text[start:]
		check.addLine(line)
		if isEmptyLine(line) {
			return check.problem()
		}
	}
}

// isEmptyLine reports whether a line ends a header, also with a bare line feed.
func isEmptyLine(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// readLine appends a line including its end.
func (b *headBuffer) readLine(reader *bufio.Reader, maxBytes int) error {
	for {
		part, err := reader.ReadSlice('\n')
		b.text = append(b.text, part...)
		if len(b.text) > maxBytes {
			return errHeadersTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// headerCheck looks for what another program might read differently, where http.ReadRequest is
// lenient (RFC 9112, sections 2.2, 3.2, 5.1, 5.2 and 6.3).
type headerCheck struct {
	lines     int
	hasLength bool // Content-Length is present
	hasCoding bool // Transfer-Encoding is present
	hostCount int
	isHTTP10  bool // the request is HTTP/1.0, which needs no Host header
	badLine   bool // a line ends without a carriage return or contains control characters
	badName   bool // a header's name is not a token, as in a line folded from the one before
	badHost   bool // a Host value contains characters that are not allowed
}

// addLine checks a line including its end.
func (h *headerCheck) addLine(line []byte) {
	h.lines++
	text, strict := bytes.CutSuffix(line, []byte("\r\n"))
	h.badLine = h.badLine || !strict || bytes.ContainsFunc(text, ascii.IsControl)
	switch {
	case len(text) == 0:
	case h.lines == 1:
		h.isHTTP10 = bytes.HasSuffix(text, []byte(" HTTP/1.0"))
	default:
		h.addField(text)
	}
}

func (h *headerCheck) addField(text []byte) {
	name, value, found := bytes.Cut(text, []byte(":"))
	h.badName = h.badName || !found || len(name) == 0 || !ascii.IsToken(name)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasCoding = true
	case bytes.EqualFold(name, []byte("Host")):
		h.hostCount++
		h.badHost = h.badHost || !isHost(bytes.Trim(value, " \t"))
	}
}

func (h *headerCheck) problem() error {
	switch {
	case h.badLine:
		return badRequest("end each header line with CR LF and leave control characters out")
	case h.badName:
		return badRequest("begin each header line with a name and a colon, without blanks before it")
	case h.hasLength && h.hasCoding:
		return badRequest("send either Content-Length or Transfer-Encoding")
	case h.hostCount > 1 || h.hostCount == 0 && !h.isHTTP10:
		return badRequest("send one Host header")
	case h.badHost:
		return badRequest("send the name or address of a host in Host")
	}
	return nil
}

// isHost reports whether a host contains only allowed characters (RFC 3986, section 3.2).
func isHost(host []byte) bool {
	return !bytes.ContainsFunc(host, func(r rune) bool { return !ascii.IsAlphanumeric(r) && !strings.ContainsRune("!$%&'()*+,-.:;=[]_~", r) })
}

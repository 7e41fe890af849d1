package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"sync"
)

// refusal is a request that can't be taken: it is told and the connection ends.
type refusal struct {
	status int
	remedy string
}

// Error implements error.
func (r *refusal) Error() string { return r.remedy }

func badRequest(remedy string) error { return &refusal{http.StatusBadRequest, remedy} }

// errHeadersTooLong refuses a header beyond the bound.
var errHeadersTooLong = &refusal{http.StatusRequestHeaderFieldsTooLarge, "send shorter headers"}

// headBuffers hold one request's header while it is read.
var headBuffers = sync.Pool{New: func() any { return &headBuffer{lines: bufio.NewReader(nil)} }}

type headBuffer struct {
	text  []byte
	bytes bytes.Reader
	lines *bufio.Reader
}

// mostKept bounds the header buffers that are kept for other requests, in bytes.
const mostKept = 8 << 10

// readRequest reads one request's header. The body is left in the reader.
func readRequest(reader *bufio.Reader, most int) (*http.Request, error) {
	buffer := headBuffers.Get().(*headBuffer)
	defer func() {
		if cap(buffer.text) <= mostKept {
			headBuffers.Put(buffer)
		}
	}()
	buffer.text = buffer.text[:0]
	if err := buffer.read(reader, most); err != nil {
		return nil, err
	}
	buffer.bytes.Reset(buffer.text)
	buffer.lines.Reset(&buffer.bytes)
	request, err := http.ReadRequest(buffer.lines)
	if err != nil || request.ProtoMajor != 1 {
		return nil, badRequest("send a request of HTTP/1.1")
	}
	if expected := request.Header["Expect"]; len(expected) > 0 && !strings.EqualFold(expected[0], "100-continue") {
		return nil, &refusal{http.StatusExpectationFailed, "expect nothing but 100-continue"}
	}
	return request, nil
}

// read takes in the lines of one header and looks for what is ambiguous in them.
func (b *headBuffer) read(reader *bufio.Reader, most int) error {
	var seen headScan
	for {
		start := len(b.text)
		if err := b.readLine(reader, most); err != nil {
			return err
		}
		line := b.text[start:]
		seen.add(line)
		if isBlank(line) {
			return seen.verdict()
		}
	}
}

// isBlank reports whether a line ends a header, be it in a lax way.
func isBlank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// readLine appends a line with its end.
func (b *headBuffer) readLine(reader *bufio.Reader, most int) error {
	for {
		part, err := reader.ReadSlice('\n')
		b.text = append(b.text, part...)
		if len(b.text) > most {
			return errHeadersTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// headScan looks for what another program might read in another way, where
// http.ReadRequest is lenient (RFC 9112, sections 2.2, 3.2, 5.1, 5.2 and 6.3).
type headScan struct {
	lines   int
	length  bool // Content-Length was seen
	coding  bool // Transfer-Encoding was seen
	hosts   int
	old     bool // the request is of HTTP/1.0, which needs no host
	unclear bool // a line ends without a carriage return, goes on in the next, or holds control characters
	unnamed bool // a header's name is no token
	strange bool // a host holds what no host can
}

// add takes in a line with its end.
func (h *headScan) add(line []byte) {
	h.lines++
	text, strict := bytes.CutSuffix(line, []byte("\r\n"))
	h.unclear = h.unclear || !strict || bytes.ContainsFunc(text, isControl)
	switch {
	case len(text) == 0:
	case h.lines == 1:
		h.old = bytes.HasSuffix(text, []byte(" HTTP/1.0"))
	default:
		h.addField(text)
	}
}

func (h *headScan) addField(text []byte) {
	name, value, found := bytes.Cut(text, []byte(":"))
	h.unnamed = h.unnamed || !found || len(name) == 0 || !isToken(name)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.coding = true
	case bytes.EqualFold(name, []byte("Host")):
		h.hosts++
		h.strange = h.strange || !isHost(bytes.Trim(value, " \t"))
	}
}

func (h *headScan) verdict() error {
	switch {
	case h.unclear:
		return badRequest("end each header line with CR LF and leave control characters out")
	case h.unnamed:
		return badRequest("begin each header line with a name and a colon, without blanks before it")
	case h.length && h.coding:
		return badRequest("send either Content-Length or Transfer-Encoding")
	case h.hosts > 1 || h.hosts == 0 && !h.old:
		return badRequest("send one Host header")
	case h.strange:
		return badRequest("send the name or address of a host in Host")
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether a header's name holds only characters that it may
// (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool { return !isAlphanumeric(r) && !strings.ContainsRune("!#$%&'*+-.^_`|~", r) })
}

// isHost reports whether a host holds only characters that it may (RFC 3986,
// section 3.2).
func isHost(host []byte) bool {
	return !bytes.ContainsFunc(host, func(r rune) bool { return !isAlphanumeric(r) && !strings.ContainsRune("!$%&'()*+,-.:;=[]_~", r) })
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

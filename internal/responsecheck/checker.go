// Package responsecheck checks the responses that arrive on a client's connection before net/http
// parses them. net/http and net/textproto accept more than HTTP/1.1 allows (RFC 9112); what
// another program reads differently must not be forwarded as a response.
package responsecheck

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"sliphead/internal/fault"
)

// MaxHeadBytes bounds the head of a response, with those of the informational responses before it,
// and the trailer of its body. Each line counts lineOverhead bytes more than its length.
const MaxHeadBytes = 256 << 10

// lineOverhead is about the memory in bytes that a parsed field takes besides its text.
const lineOverhead = 32

// position is what the next byte belongs to.
type position int

const (
	inStatusLine position = iota
	inField
	inBody         // of a length
	inUnsizedBody  // up to the end of the connection
	inChunkSize    // the line before a chunk
	inChunk        // its data
	inChunkEnd     // the line end behind its data
	inTrailerField // a field behind the last chunk
)

// Checker follows the responses on one connection, byte by byte. Its zero value expects responses
// to requests other than HEAD. It is safe for concurrent use.
type Checker struct {
	mutex     sync.Mutex
	method    string // of the request
	position  position
	head      head
	line      []byte // the beginning of a line whose end has not arrived
	headBytes int    // bytes of lines since the start of the head, the chunk's size or the trailer
	remaining int64  // bytes of the body or of the chunk that have not arrived
	err       error  // why what arrived is no response
}

// Begin prepares for the response to a request of a method.
func (c *Checker) Begin(method string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.method = method
	c.expectResponse()
}

// Err returns why what arrived is no response, nil if there was no violation. The connection must
// not be used again after one.
func (c *Checker) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// Check checks the bytes that arrived next and returns how many of them are valid: all, unless
// there was a violation. It returns its error only if none is valid, so that a response before
// the violation is read whole.
func (c *Checker) Check(data []byte) (valid int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for valid < len(data) && c.err == nil {
		valid += c.advance(data[valid:])
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, c.err
}

// Read reads from a connection and checks what arrived.
func (c *Checker) Read(conn io.Reader, buffer []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	count, err := conn.Read(buffer)
	valid, invalid := c.Check(buffer[:count])
	if valid < count || invalid != nil {
		return valid, invalid
	}
	return count, err
}

// advance consumes a part of the data and returns its length, 0 after a violation.
func (c *Checker) advance(data []byte) int {
	switch c.position {
	case inUnsizedBody:
		return len(data)
	case inBody, inChunk:
		return c.advanceBody(data)
	default:
		return c.advanceLine(data)
	}
}

func (c *Checker) advanceBody(data []byte) int {
	count := min(int64(len(data)), c.remaining)
	c.remaining -= count
	switch {
	case c.remaining > 0:
	case c.position == inChunk:
		c.position = inChunkEnd
	default:
		c.expectResponse()
	}
	return int(count)
}

func (c *Checker) advanceLine(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		c.line = append(c.line, data...)
		c.err = c.checkPart()
		return c.validLength(len(data))
	}
	part := data[:end+1]
	line := part
	if len(c.line) > 0 {
		c.line = append(c.line, part...)
		line = c.line
	}
	c.headBytes += len(line) + lineOverhead
	if c.headBytes > MaxHeadBytes {
		c.err = errTooLong()
		return 0
	}
	c.err = c.endLine(bytes.TrimSuffix(line[:len(line)-1], []byte("\r")))
	c.releaseLine()
	return c.validLength(len(part))
}

func (c *Checker) validLength(length int) int {
	if c.err != nil {
		return 0
	}
	return length
}

// maxRetainedLine is the capacity in bytes up to which the buffer of a line is kept for the next.
const maxRetainedLine = 1 << 10

func (c *Checker) releaseLine() {
	if cap(c.line) > maxRetainedLine {
		c.line = nil
	}
	c.line = c.line[:0]
}

// versionPrefix begins each status line.
const versionPrefix = "HTTP/1."

// checkPart checks the beginning of a line, so that a violation is found before the line ends,
// which it may never do.
func (c *Checker) checkPart() error {
	switch compared := min(len(c.line), len(versionPrefix)); {
	case c.headBytes+len(c.line) > MaxHeadBytes:
		return errTooLong()
	case c.position == inStatusLine && string(c.line[:compared]) != versionPrefix[:compared]:
		return errStatusLine()
	}
	return nil
}

// endLine processes a line without its end.
func (c *Checker) endLine(line []byte) error {
	switch c.position {
	case inStatusLine:
		c.position = inField
		return c.head.readStatusLine(line)
	case inField:
		if len(line) > 0 {
			return c.head.readField(line)
		}
		return c.endHead()
	case inChunkSize:
		return c.beginChunk(line)
	case inChunkEnd:
		if len(line) > 0 {
			return violation("end each chunk where its size says", "the data of a chunk is longer than its size")
		}
		c.headBytes = 0
		c.position = inChunkSize
	case inTrailerField:
		if len(line) > 0 {
			return c.head.readField(line)
		}
		c.expectResponse()
	}
	return nil
}

// endHead determines how the body is framed (RFC 9112, section 6.3).
func (c *Checker) endHead() error {
	head := c.head
	informational := head.status < http.StatusOK && head.status != http.StatusSwitchingProtocols
	bodyless := c.method == http.MethodHead || head.status == http.StatusNoContent || head.status == http.StatusNotModified
	switch {
	case head.chunked && head.isHTTP10:
		return violation("send chunks in HTTP/1.1 only", "a response of HTTP/1.0 has a Transfer-Encoding")
	case informational:
		c.head = head.reset()
		c.position = inStatusLine
	case bodyless:
		c.expectResponse()
	case head.chunked:
		c.headBytes = 0
		c.position = inChunkSize
	case !head.hasLength:
		c.position = inUnsizedBody
	case head.length == 0:
		c.expectResponse()
	default:
		c.remaining = head.length
		c.position = inBody
	}
	return nil
}

// beginChunk processes the line with a chunk's size.
func (c *Checker) beginChunk(line []byte) error {
	size, ok := parseChunkSize(line)
	switch {
	case !ok:
		return violation("begin each chunk with its size", "the size of a chunk is not a hexadecimal number")
	case size == 0:
		c.headBytes = 0
		c.head.firstLine = true
		c.position = inTrailerField
	default:
		c.remaining = size
		c.position = inChunk
	}
	return nil
}

// expectResponse resets the state for the next response.
func (c *Checker) expectResponse() {
	c.position = inStatusLine
	c.head = head{}.reset()
	c.headBytes = 0
	c.remaining = 0
	c.line = c.line[:0]
}

func violation(remedy, format string, args ...any) error {
	return fault.New(fault.Worker, remedy, format, args...)
}

func errTooLong() error {
	return violation("send shorter headers", "the head of a response is longer than %d bytes", MaxHeadBytes)
}

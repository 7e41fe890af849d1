package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// response is the response to one request, and its http.ResponseWriter. It writes to the
// connection once all responses before it are complete; until then Write and Flush block.
type response struct {
	conn        *connection
	request     *http.Request
	cancel      context.CancelFunc
	body        *requestBody  // nil: the request has no body
	concurrent  bool          // whether the request may run concurrently with others of its connection
	earlierDone chan struct{} // closed once the responses before it are complete

	header         http.Header
	status         int        // final status, 0: not yet set
	mayWrite       bool       // whether it may write to the connection, since the responses before it are complete
	headerMutex    sync.Mutex // guards deadline and headerSent, and writes of informational responses before the final one
	deadline       time.Time  // for writing; zero: none
	headerSent     bool       // whether the header has been written
	declaredLength int64      // declared by Content-Length, -1: none
	written        int64      // bytes of the body
	chunked        bool
	bodyless       bool // whether the response has no body, so that what the handler writes is discarded
	writer         *bufio.Writer
}

// writerSize is the size of a response's write buffer in bytes: enough for a header and a
// short body.
const writerSize = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerSize) }}

var errBodyTooLong = errors.New("the body is longer than its announced length")

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. An informational status is written at once if
// all earlier responses are complete, else dropped; the final one is written with the first
// byte of the body.
func (r *response) WriteHeader(status int) {
	switch {
	case r.status != 0:
	case status < http.StatusOK:
		r.inform(status)
	default:
		r.status = status
	}
}

// inform writes an informational response, unless earlier responses are incomplete.
func (r *response) inform(status int) {
	if !r.isFirst() {
		return
	}
	_ = r.writeInformational(status) // a failed write shows again in the final response
}

// writeInformational writes an informational response unless the final one has begun. The
// connection may still have the write deadline of the response before.
func (r *response) writeInformational(status int) error {
	r.headerMutex.Lock()
	defer r.headerMutex.Unlock()
	if r.headerSent {
		return nil
	}
	if err := r.conn.conn.SetWriteDeadline(r.deadline); err != nil {
		return err
	}
	_, err := io.WriteString(r.conn.conn, statusLine(status)+"\r\n")
	return err
}

// isFirst reports, without blocking, whether the responses before this one are complete.
func (r *response) isFirst() bool {
	select {
	case <-r.earlierDone:
		return true
	default:
		return false
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if err := r.begin(len(data)); err != nil {
		return 0, err
	}
	switch {
	case r.bodyless:
		return len(data), nil
	case r.declaredLength >= 0 && r.written+int64(len(data)) > r.declaredLength:
		return 0, errBodyTooLong
	}
	r.written += int64(len(data))
	if !r.chunked || len(data) == 0 {
		return r.writer.Write(data)
	}
	_, _ = r.writer.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n") // the buffer keeps its error
	count, _ := r.writer.Write(data)
	_, err := r.writer.WriteString("\r\n")
	return count, err
}

// FlushError writes buffered data to the connection. http.ResponseController calls it.
func (r *response) FlushError() error {
	r.WriteHeader(http.StatusOK)
	if err := r.begin(0); err != nil {
		return err
	}
	return r.writer.Flush()
}

// SetWriteDeadline sets the deadline for writing this response. http.ResponseController calls
// it.
func (r *response) SetWriteDeadline(deadline time.Time) error {
	r.headerMutex.Lock()
	defer r.headerMutex.Unlock()
	r.deadline = deadline
	if r.mayWrite {
		return r.conn.conn.SetWriteDeadline(deadline)
	}
	return nil
}

// SetReadDeadline sets the deadline for reading this request's body. http.ResponseController
// calls it.
func (r *response) SetReadDeadline(deadline time.Time) error {
	r.conn.mutex.Lock()
	defer r.conn.mutex.Unlock()
	if r.body == nil || r.body.consumed || r.body.requestEnded {
		return nil
	}
	r.body.deadline = deadline
	if r.body.expectsContinue {
		return nil // the connection reads without a deadline to detect a disconnect until 100 Continue is sent
	}
	return r.conn.conn.SetReadDeadline(deadline)
}

// begin waits for the responses before this one and writes the header. pending is the number of
// body bytes that wait for them.
func (r *response) begin(pending int) error {
	if err := r.awaitEarlier(pending); err != nil {
		return err
	}
	r.headerMutex.Lock()
	defer r.headerMutex.Unlock()
	if !r.headerSent {
		r.headerSent = true
		r.sendHeader()
	}
	return nil
}

// awaitEarlier returns when the responses before this one are complete, with an error when the
// connection ends before.
func (r *response) awaitEarlier(pending int) error {
	if r.mayWrite {
		return nil
	}
	if !r.isFirst() {
		r.conn.addPending(pending)
		defer r.conn.addPending(-pending)
		select {
		case <-r.earlierDone:
		case <-r.conn.context.Done():
			return r.conn.context.Err()
		}
	}
	r.headerMutex.Lock()
	defer r.headerMutex.Unlock()
	r.mayWrite = true
	r.writer = writers.Get().(*bufio.Writer)
	r.writer.Reset(r.conn.conn)
	return r.conn.conn.SetWriteDeadline(r.deadline)
}

// framingHeaders are the headers that the server itself writes.
var framingHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true}

// sendHeader decides how the body is framed and whether the connection closes, and writes the
// header.
func (r *response) sendHeader() {
	r.frame()
	closes := r.conn.decideClose(r)
	_, _ = r.writer.WriteString(statusLine(r.status)) // the buffer keeps its error
	_ = r.header.WriteSubset(r.writer, framingHeaders)
	switch {
	case r.chunked:
		r.writeField("Transfer-Encoding", "chunked")
	case r.declaredLength >= 0:
		r.writeField("Content-Length", strconv.FormatInt(r.declaredLength, 10))
	}
	if closes {
		r.writeField("Connection", "close")
	}
	_, _ = r.writer.WriteString("\r\n")
}

func (r *response) writeField(name, value string) {
	_, _ = r.writer.WriteString(name + ": " + value + "\r\n")
}

// frame decides whether the body is framed by its length, in chunks or by the end of the
// connection.
func (r *response) frame() {
	r.declaredLength = -1
	if declared := r.header["Content-Length"]; len(declared) == 1 {
		if length, err := strconv.ParseInt(declared[0], 10, 64); err == nil && length >= 0 {
			r.declaredLength = length
		}
	}
	empty := r.status == http.StatusNoContent || r.status == http.StatusNotModified
	r.bodyless = empty || r.request.Method == http.MethodHead
	if r.status == http.StatusNoContent {
		r.declaredLength = -1
	}
	r.chunked = !r.bodyless && r.declaredLength < 0 && r.request.ProtoAtLeast(1, 1)
}

// statusLine returns the first line of a response.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}

// finish completes the response. It reports whether all of it was written.
func (r *response) finish() bool {
	r.WriteHeader(http.StatusOK)
	if !r.isHeaderSent() && len(r.header["Content-Length"]) == 0 && r.request.Method != http.MethodHead {
		r.header["Content-Length"] = []string{"0"}
	}
	if r.begin(0) != nil {
		return false
	}
	if r.chunked {
		_, _ = r.writer.WriteString("0\r\n\r\n")
	}
	complete := r.bodyless || r.declaredLength < 0 || r.written == r.declaredLength
	return r.writer.Flush() == nil && complete
}

func (r *response) isHeaderSent() bool {
	r.headerMutex.Lock()
	defer r.headerMutex.Unlock()
	return r.headerSent
}

// release returns the write buffer to the pool.
func (r *response) release() {
	if r.writer == nil {
		return
	}
	r.writer.Reset(nil)
	writers.Put(r.writer)
	r.writer = nil
}

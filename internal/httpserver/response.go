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

// response is the answer to one request, and its http.ResponseWriter. It writes
// to the connection once all answers before it are complete; until then Write
// and Flush wait.
type response struct {
	conn    *connection
	request *http.Request
	cancel  context.CancelFunc
	body    *requestBody  // nil: the request has none
	ahead   bool          // whether it may run beside others
	turn    chan struct{} // closed once the answers before it are complete

	header  http.Header
	status  int        // final one, 0: not yet given
	until   time.Time  // when writing ends; zero: never
	mine    bool       // whether its turn has come
	sending sync.Mutex // guards sent, and informational answers before the final one
	sent    bool       // whether the header has been written
	length  int64      // announced, -1: none
	written int64      // bytes of the body
	chunked bool
	bare    bool // whether no body is sent, whatever the handler writes
	writer  *bufio.Writer
}

// writerSize is the size of a response's write buffer: a header and a short body.
const writerSize = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerSize) }}

var errLongBody = errors.New("the body is longer than its announced length")

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. An informational status goes out at
// once where it can; the final one goes out with the first byte of the body.
func (r *response) WriteHeader(status int) {
	switch {
	case r.status != 0:
	case status < http.StatusOK:
		r.inform(status)
	default:
		r.status = status
	}
}

// inform writes an informational answer, unless others stand before it.
func (r *response) inform(status int) {
	if !r.isFirst() {
		return
	}
	_ = r.writeInformational(status) // a failure shows at the final answer
}

// writeInformational writes an answer that another one follows, if none has.
func (r *response) writeInformational(status int) error {
	r.sending.Lock()
	defer r.sending.Unlock()
	if r.sent {
		return nil
	}
	_, err := io.WriteString(r.conn.conn, statusLine(status)+"\r\n")
	return err
}

// isFirst reports whether the turn has come, without waiting.
func (r *response) isFirst() bool {
	select {
	case <-r.turn:
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
	case r.bare:
		return len(data), nil
	case r.length >= 0 && r.written+int64(len(data)) > r.length:
		return 0, errLongBody
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

// FlushError sends what has been written. http.ResponseController calls it.
func (r *response) FlushError() error {
	r.WriteHeader(http.StatusOK)
	if err := r.begin(0); err != nil {
		return err
	}
	return r.writer.Flush()
}

// SetWriteDeadline bounds the writing of this answer.
func (r *response) SetWriteDeadline(until time.Time) error {
	r.until = until
	if r.mine {
		return r.conn.conn.SetWriteDeadline(until)
	}
	return nil
}

// SetReadDeadline bounds the reading of this request's body.
func (r *response) SetReadDeadline(until time.Time) error {
	r.conn.mutex.Lock()
	defer r.conn.mutex.Unlock()
	if r.body == nil || r.body.done || r.body.ended {
		return nil
	}
	r.body.until = until
	if r.body.awaited {
		return nil // it is watched for the caller's leaving until it is asked for
	}
	return r.conn.conn.SetReadDeadline(until)
}

// begin waits for the turn and writes the header, before the first bytes of the
// body.
func (r *response) begin(waiting int) error {
	if err := r.await(waiting); err != nil {
		return err
	}
	r.sending.Lock()
	defer r.sending.Unlock()
	if !r.sent {
		r.sent = true
		r.sendHeader()
	}
	return nil
}

// await returns when the answers before this one are complete.
func (r *response) await(waiting int) error {
	if r.mine {
		return nil
	}
	if !r.isFirst() {
		r.conn.addWaiting(waiting)
		defer r.conn.addWaiting(-waiting)
		select {
		case <-r.turn:
		case <-r.conn.context.Done():
			return r.conn.context.Err()
		}
	}
	r.mine = true
	r.writer = writers.Get().(*bufio.Writer)
	r.writer.Reset(r.conn.conn)
	return r.conn.conn.SetWriteDeadline(r.until)
}

// framing are the headers that the server itself writes.
var framing = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true}

// sendHeader decides how the body is framed and whether the connection goes on.
func (r *response) sendHeader() {
	r.frame()
	closes := r.conn.closesWith(r)
	_, _ = r.writer.WriteString(statusLine(r.status)) // the buffer keeps its error
	_ = r.header.WriteSubset(r.writer, framing)
	switch {
	case r.chunked:
		r.writeField("Transfer-Encoding", "chunked")
	case r.length >= 0:
		r.writeField("Content-Length", strconv.FormatInt(r.length, 10))
	}
	if closes {
		r.writeField("Connection", "close")
	}
	_, _ = r.writer.WriteString("\r\n")
}

func (r *response) writeField(name, value string) {
	_, _ = r.writer.WriteString(name + ": " + value + "\r\n")
}

// frame decides between a length, chunks and the end of the connection.
func (r *response) frame() {
	r.length = -1
	if told := r.header["Content-Length"]; len(told) == 1 {
		if length, err := strconv.ParseInt(told[0], 10, 64); err == nil && length >= 0 {
			r.length = length
		}
	}
	empty := r.status == http.StatusNoContent || r.status == http.StatusNotModified
	r.bare = empty || r.request.Method == http.MethodHead
	if r.status == http.StatusNoContent {
		r.length = -1
	}
	r.chunked = !r.bare && r.length < 0 && r.request.ProtoAtLeast(1, 1)
}

// statusLine is the first line of an answer.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}

// finish completes the answer. It reports whether it is whole.
func (r *response) finish() bool {
	r.WriteHeader(http.StatusOK)
	if !r.isSent() && len(r.header["Content-Length"]) == 0 && r.request.Method != http.MethodHead {
		r.header["Content-Length"] = []string{"0"}
	}
	if r.begin(0) != nil {
		return false
	}
	if r.chunked {
		_, _ = r.writer.WriteString("0\r\n\r\n")
	}
	whole := r.bare || r.length < 0 || r.written == r.length
	return r.writer.Flush() == nil && whole
}

func (r *response) isSent() bool {
	r.sending.Lock()
	defer r.sending.Unlock()
	return r.sent
}

// release gives the write buffer back.
func (r *response) release() {
	if r.writer == nil {
		return
	}
	r.writer.Reset(nil)
	writers.Put(r.writer)
	r.writer = nil
}

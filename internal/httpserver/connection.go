package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"sliphead/internal/logging"
)

// connection reads the requests of one connection. Its queue holds the requests that were read
// and whose responses are not complete: either several that may run concurrently, or one that
// runs alone.
type connection struct {
	server  *Server
	conn    net.Conn
	reader  *bufio.Reader
	context context.Context // ends with the connection
	cancel  context.CancelFunc

	mutex        sync.Mutex
	changed      *sync.Cond
	queue        []*response
	pendingBytes int  // bytes of responses that wait for earlier ones
	readerIdle   bool // whether the reader waits for bytes outside of a request
	watching     bool // whether it waits for a change of this state as well
	closing      bool // whether no further request is accepted
	rejecting    bool // whether further requests are rejected, since the connection closes with the last response
}

// readerSize is the size of a connection's read buffer in bytes.
const readerSize = 4 << 10

func newConnection(server *Server, conn net.Conn) *connection {
	c := &connection{server: server, conn: conn, reader: bufio.NewReaderSize(conn, readerSize)}
	c.changed = sync.NewCond(&c.mutex)
	c.context, c.cancel = newConnectionContext()
	return c
}

// serve reads requests until the connection ends, and then waits for their responses.
func (c *connection) serve() {
	defer c.server.removeConnection(c)
	defer c.cancel()
	deadline := time.Now().Add(c.server.HeaderTimeout)
	for c.awaitCapacity() && c.awaitRequest(deadline) && c.awaitCapacity() && c.readNext() {
		deadline = time.Now().Add(c.server.IdleTimeout)
	}
	c.stopReading()
	c.awaitResponses()
	c.end()
}

// hasCapacity reports whether the limits allow another request and the body of the one before
// has been read. The mutex must be held.
func (c *connection) hasCapacity() bool {
	if len(c.queue) == 0 {
		return true
	}
	last := c.queue[len(c.queue)-1]
	inBody := last.body != nil && !last.body.consumed
	return !inBody && len(c.queue) < c.server.MaxPipelined && c.pendingBytes < c.server.MaxPendingBytes
}

// awaitRequest returns true when the first byte of a request has arrived, false when none
// will. The wait has no deadline while responses are outstanding. A disconnect of the caller
// is handled by awaitResponses, which is called afterwards.
func (c *connection) awaitRequest(idleUntil time.Time) bool {
	for {
		c.beginIdleRead(idleUntil)
		_, err := c.reader.Peek(1)
		outstanding := c.endIdleRead()
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || !outstanding:
			return false
		}
		idleUntil = time.Now().Add(c.server.IdleTimeout)
	}
}

func (c *connection) beginIdleRead(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerIdle = true
	if len(c.queue) > 0 {
		deadline = time.Time{}
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// endIdleRead reports whether to continue waiting after the read deadline has passed.
func (c *connection) endIdleRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerIdle = false
	return len(c.queue) > 0 && !c.closing
}

// readNext reads one request and starts it. It reports whether more requests may be read.
func (c *connection) readNext() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.HeaderTimeout))
	request, err := readRequest(c.reader, c.server.MaxHeaderBytes)
	var invalid *requestError
	if errors.As(err, &invalid) {
		c.enqueue(c.newResponse(unparsedRequest()), invalid.respond)
		return false
	}
	if err != nil {
		return false
	}
	request.RemoteAddr = c.conn.RemoteAddr().String()
	answer := c.newResponse(request)
	answer.body = newRequestBody(answer, c.reader)
	handler := c.server.Handler
	answer.concurrent = c.server.mayRunConcurrently(request)
	if c.rejects(request) {
		handler, answer.concurrent = c.server.RejectClosing, true
	}
	if !c.mayRunNow(answer) && !c.awaitEmptyQueue() {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // the handler sets the deadline for reading a body
	return c.enqueue(answer, handler.ServeHTTP) && !request.Close
}

// rejects reports whether a request is rejected by RejectClosing. A request with a body is not,
// since the body would have to be read to its end first.
func (c *connection) rejects(request *http.Request) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rejecting && c.server.RejectClosing != nil && request.ContentLength == 0
}

// mayRunNow reports whether a request may run concurrently with those in the queue.
func (c *connection) mayRunNow(answer *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queue) == 0 || answer.concurrent && c.queue[len(c.queue)-1].concurrent
}

func (c *connection) newResponse(request *http.Request) *response {
	ctx, cancel := context.WithCancel(c.context)
	return &response{conn: c, request: request.WithContext(ctx), cancel: cancel, header: http.Header{}, earlierDone: make(chan struct{})}
}

// enqueue starts a request. It returns false when the connection is closing; the request then
// counts as not read.
func (c *connection) enqueue(answer *response, handle http.HandlerFunc) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		answer.cancel()
		return false
	}
	if len(c.queue) == 0 {
		close(answer.earlierDone)
	}
	c.queue = append(c.queue, answer)
	go c.run(answer, handle)
	return true
}

// run handles one request and completes its response.
func (c *connection) run(answer *response, handle http.HandlerFunc) {
	complete := false
	defer func() {
		if problem := recover(); problem != nil {
			c.logPanic(problem)
			complete = false
		}
		answer.cancel()
		c.finishRequest(answer, complete)
	}()
	handle(answer, answer.request)
	complete = answer.finish()
}

// logPanic logs a panic of a handler, except http.ErrAbortHandler, which aborts a response
// that can't be completed.
func (c *connection) logPanic(problem any) {
	if problem == http.ErrAbortHandler {
		return
	}
	c.server.Logger.WithFields(logging.Fields{"remote": c.conn.RemoteAddr().String(), "problem": problem, "stack": string(debug.Stack())}).Error("request.panicked")
}

// finishRequest removes the request from the queue once the responses before it are complete.
// If its own response is incomplete it aborts the connection: requests pipelined after it
// count as not read.
func (c *connection) finishRequest(answer *response, complete bool) {
	if answer.awaitEarlier(0) != nil {
		complete = false
	}
	answer.release()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer.body != nil {
		answer.body.requestEnded = true
		c.closing = c.closing || !answer.body.consumed
	}
	if !complete {
		c.closing = true
		c.abort()
	}
	c.remove(answer)
	c.wakeReader()
}

// remove removes a request from the queue. It is the first, unless the connection was aborted.
func (c *connection) remove(answer *response) {
	for index, queued := range c.queue {
		if queued != answer {
			continue
		}
		c.queue = append(c.queue[:index], c.queue[index+1:]...)
		if index == 0 && len(c.queue) > 0 {
			close(c.queue[0].earlierDone)
		}
		return
	}
}

// wakeReader wakes the reader after a request has left the queue, or sets the idle deadline.
// The mutex must be held.
func (c *connection) wakeReader() {
	switch {
	case c.watching || len(c.queue) > 0 || !c.readerIdle:
	case c.closing:
		c.wakeRead()
	default:
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.IdleTimeout))
	}
	c.notifyReader()
}

// decideClose reports whether a response announces that the connection closes. It does so if
// its handler or its caller wants that and no later request has started; otherwise the last of
// those announces it. From then on no request is accepted, or, if only the handler wants to
// close and other responses are outstanding, requests that arrive are rejected.
func (c *connection) decideClose(answer *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	unread := answer.body != nil && !answer.body.consumed
	unframed := answer.declaredLength < 0 && !answer.chunked && !answer.bodyless
	mustClose := unread || unframed || answer.request.Close || !answer.request.ProtoAtLeast(1, 1)
	last := len(c.queue) == 1
	c.rejecting = c.rejecting || wantsClose(answer.header)
	c.closing = c.closing || mustClose || c.rejecting && (last || c.server.RejectClosing == nil)
	return c.closing && last
}

func wantsClose(header http.Header) bool {
	values := header["Connection"]
	return len(values) == 1 && values[0] == "close"
}

func (c *connection) addPending(bytes int) {
	if bytes == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingBytes += bytes
	c.notifyReader()
}

// stopReading makes the connection accept no further requests.
func (c *connection) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
}

// lingerTime is how long a closed connection is still read: bytes that arrive at a closed
// socket reset it, which would discard a response that is still in transit.
const lingerTime = 500 * time.Millisecond

// end closes the connection after the last response has been delivered.
func (c *connection) end() {
	halfCloser, canHalfClose := c.conn.(interface{ CloseWrite() error })
	if c.context.Err() == nil && canHalfClose && halfCloser.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.conn)
	}
	_ = c.conn.Close()
}

// abort closes the connection and then cancels its requests. In the other order, a handler
// that returns because it is cancelled could still send a response that reflects only the
// cancellation.
func (c *connection) abort() {
	_ = c.conn.Close()
	c.cancel()
}

// unparsedRequest is the placeholder for a request that could not be parsed.
func unparsedRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}
}

// respond writes the response to a request that can't be accepted.
func (r *requestError) respond(writer http.ResponseWriter, _ *http.Request) {
	text := r.remedy + "\n"
	header := writer.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(r.status)
	_, _ = io.WriteString(writer, text) // an error means that the caller has disconnected
}

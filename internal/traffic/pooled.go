package traffic

import (
	"bufio"
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"sliphead/internal/fault"
)

// pooledConn is a connection of a pool. One request uses it at a time.
type pooledConn struct {
	*sealedConn
	pool        *pool
	address     string
	reader      *bufio.Reader
	writer      *bufio.Writer
	limit       int64 // bytes that may still be read
	probe       probe
	idleSince   time.Time
	interrupter func() // interrupt, made once
	stop        func() bool
}

// Bounds of an answer's header, as the transport of net/http has them.
const (
	maxAnswerHeader  = 10 << 20 // bytes
	maxInformational = 5        // 1xx answers before the final one
)

// limitedReader reads no more than the connection's limit.
type limitedReader struct{ conn *pooledConn }

// Read implements io.Reader.
func (l limitedReader) Read(buffer []byte) (int, error) {
	if l.conn.limit <= 0 {
		return 0, fault.New(fault.Peer, "send shorter headers", "the header of an answer is longer than %d bytes", maxAnswerHeader)
	}
	if int64(len(buffer)) > l.conn.limit {
		buffer = buffer[:l.conn.limit]
	}
	count, err := l.conn.sealedConn.Read(buffer)
	l.conn.limit -= int64(count)
	return count, err
}

// quiet reports whether the other side has neither closed an idle connection
// nor sent something that nobody asked for.
func (c *pooledConn) quiet() bool { return c.reader.Buffered() == 0 && c.probe.quiet() }

// begin lets the end of a context interrupt the connection.
func (c *pooledConn) begin(ctx context.Context) { c.stop = context.AfterFunc(ctx, c.interrupter) }

func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// finish gives the connection back after a whole answer. One that was
// interrupted, or on which more came than was asked for, is closed.
func (c *pooledConn) finish(reusable bool) {
	if !c.stop() || !reusable || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.pool.put(c)
}

// abandon closes the connection before its request has ended.
func (c *pooledConn) abandon() {
	c.stop()
	c.close()
}

func (c *pooledConn) close() {
	_ = c.Close()
	c.pool.release()
}

// roundTrip sends a request and reads the answer's header.
func (c *pooledConn) roundTrip(x *exchange, to *hop) (*http.Response, error) {
	if err := writeRequest(c.writer, x, to); err != nil {
		return nil, err
	}
	c.limit = maxAnswerHeader
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, x.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limit = math.MaxInt64
			return response, nil
		}
	}
	return nil, fault.New(fault.Worker, "answer with a final status", "more than %d informational answers", maxInformational)
}

// skip passes over the body of an answer that is not passed on, so that the
// connection can be used again. It reports whether it could.
func (c *pooledConn) skip(response *http.Response) bool {
	length := response.ContentLength
	if length < 0 || length > int64(c.reader.Buffered()) {
		return false
	}
	_, err := c.reader.Discard(int(length))
	return err == nil
}

// ownedBody is an answer's body that gives its connection back at its end.
type ownedBody struct {
	io.ReadCloser
	conn     *pooledConn
	reusable bool
	over     bool
}

// Read implements io.Reader.
func (b *ownedBody) Read(buffer []byte) (int, error) {
	if b.over {
		return 0, io.EOF
	}
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.over = true
		b.conn.finish(b.reusable)
	}
	return count, err
}

// Close implements io.Closer. It ends the connection of a body that was not
// read to its end.
func (b *ownedBody) Close() error {
	if !b.over {
		b.over = true
		b.conn.abandon()
	}
	return nil
}

// sendDirect makes one try on a pooled connection, false if none is free.
func sendDirect(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result, bool) {
	conn, err := to.pool.take(x.context, to.address)
	if err == errPoolFull {
		return nil, nil, false
	}
	if err != nil {
		failure := roundTripFailure(x, false)
		return nil, &failure, true
	}
	got, failure := conn.exchange(x, to, check)
	return got, failure, true
}

// exchange makes one try. It returns the answer, or how the try failed.
func (c *pooledConn) exchange(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := sending{conn: c.sealedConn, base: c.count()}
	c.begin(x.context)
	response, err := c.roundTrip(x, to)
	if err != nil {
		failure := roundTripFailure(x, watch.left())
		c.abandon()
		return nil, &failure
	}
	failure := check(response)
	switch {
	case failure != nil && failure.cause == causeForeign:
		c.abandon()
		return nil, failure
	case failure != nil:
		c.finish(c.skip(response) && !response.Close)
		return nil, failure
	case response.Body == http.NoBody:
		c.finish(!response.Close)
	default:
		response.Body = &ownedBody{ReadCloser: response.Body, conn: c, reusable: !response.Close}
	}
	return receive(x, response)
}

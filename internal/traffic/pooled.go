package traffic

import (
	"bufio"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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
	silent      atomic.Bool   // whether the other side gave no sign in time
	started     bool          // whether the body is being sent
	body        chan struct{} // closed when a body that is sent beside the answer has gone out; nil: none is
	idleLife    time.Duration // for which the other side keeps the connection idle; 0: not told
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
	if !c.stop() || !reusable || c.reader.Buffered() > 0 || !c.bodySent() {
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

// roundTrip sends a request and reads the answer's header. With an offer, the
// body goes out once the other side asks for it.
func (c *pooledConn) roundTrip(x *exchange, to *hop) (*http.Response, error) {
	c.started = false
	c.body = nil
	sign := c.awaitSign(to.silence)
	defer sign.Stop()
	if err := writeRequest(c.writer, x, to); err != nil {
		return nil, err
	}
	if !to.offers(x) {
		if err := c.writeBody(x); err != nil {
			return nil, err
		}
	}
	c.limit = maxAnswerHeader
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, x.request)
		if err != nil {
			return nil, err
		}
		sign.Stop()
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limit = math.MaxInt64
			return response, nil
		}
		if response.StatusCode == http.StatusContinue && to.offers(x) && !c.started {
			if err := c.writeBody(x); err != nil {
				return nil, err
			}
		}
	}
	return nil, fault.New(fault.Worker, "answer with a final status", "more than %d informational answers", maxInformational)
}

// next passes over an answer that came late to another request, and reads the
// one behind it.
func (c *pooledConn) next(x *exchange, late *http.Response) (*http.Response, error) {
	if !framed(late) {
		return nil, fault.New(fault.Worker, "answer each request once", "a late answer has no end")
	}
	if _, err := io.Copy(io.Discard, late.Body); err != nil {
		return nil, err
	}
	c.limit = maxAnswerHeader
	response, err := http.ReadResponse(c.reader, x.request)
	c.limit = math.MaxInt64
	return response, err
}

// noteIdleLife reads for how long the other side keeps the connection.
func (c *pooledConn) noteIdleLife(response *http.Response) {
	_, told, found := strings.Cut(get(response.Header, "Keep-Alive"), "timeout=")
	if !found {
		return
	}
	told, _, _ = strings.Cut(told, ",")
	if whole, err := strconv.Atoi(strings.TrimSpace(told)); err == nil && whole > 0 {
		c.idleLife = time.Duration(whole) * time.Second
	}
}

// mayBeIdle reports whether the other side still keeps a connection that has
// been idle for a time, with a margin for the way.
func (c *pooledConn) mayBeIdle(idle time.Duration) bool {
	const marginShare = 4
	if c.idleLife > 0 && idle >= c.idleLife-c.idleLife/marginShare {
		return false
	}
	return idle < idleLife
}

// tripFailure tells what a failed try came to. A body that was offered and not
// asked for was never there to be run.
func (c *pooledConn) tripFailure(x *exchange, to *hop, left bool) result {
	if to.offers(x) && !c.started {
		left = false
	}
	if c.silent.Load() && x.context.Err() == nil {
		return silence(left)
	}
	return roundTripFailure(x, left)
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
	conn, err := to.pool.take(x.context, to.address, to.silence)
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

// awaitSign interrupts the connection unless the other side gives a sign in time.
func (c *pooledConn) awaitSign(within time.Duration) *time.Timer {
	c.silent.Store(false)
	if within <= 0 {
		within = math.MaxInt64
	}
	return time.AfterFunc(within, func() {
		c.silent.Store(true)
		c.interrupt()
	})
}

// writeBody sends a whole body: a short one now, a long one while the answer
// is read, because the other side may answer before it has read it all.
func (c *pooledConn) writeBody(x *exchange) error {
	c.started = true
	if x.body.length <= directBody {
		_, _ = c.writer.Write(x.body.whole) // Flush tells its error
		return c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	sent := make(chan struct{})
	c.body = sent
	go func() {
		defer close(sent)
		_, _ = c.sealedConn.Write(x.body.whole) // the answer, or its lack, tells of an error
	}()
	return nil
}

// bodySent reports whether all of the body has gone out.
func (c *pooledConn) bodySent() bool {
	if c.body == nil {
		return true
	}
	select {
	case <-c.body:
		return true
	default:
		return false
	}
}

// mayBeEarly reports whether an answer may have come before the other side has
// read the whole body: then the connection must not carry another request.
func (c *pooledConn) mayBeEarly(response *http.Response) bool {
	return c.body != nil && (response.StatusCode >= http.StatusMultipleChoices || !c.bodySent())
}

// mostForeign is how many answers that belong to other requests are passed
// over on one connection.
const mostForeign = 2

// exchange makes one try. It returns the answer, or how the try failed.
func (c *pooledConn) exchange(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := sending{conn: c.sealedConn, base: c.count()}
	c.begin(x.context)
	response, err := c.roundTrip(x, to)
	for range mostForeign {
		if err != nil || !to.foreignTo() || !to.protocol.belongsElsewhere(x, response) {
			break
		}
		response, err = c.next(x, response)
	}
	if err != nil {
		failure := c.tripFailure(x, to, watch.left())
		c.abandon()
		return nil, &failure
	}
	if c.mayBeEarly(response) {
		response.Close = true
	}
	c.noteIdleLife(response)
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

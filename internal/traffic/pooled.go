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
	rested      time.Duration // before the request that it carries; 0: it is new
	heard       int64         // bytes read on it before that request
	taken       time.Time     // when it took that request
	interrupter func()        // interrupt, made once
	stop        func() bool
	sign        atomic.Int32  // a signState
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
	if c.isSilent() && x.context.Err() == nil {
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

// noteSilence has the other idle connections to the same address closed after one that
// had rested brought not a byte for long: connections that go silent for good do so
// together, and each of them would cost a request its time.
func (c *pooledConn) noteSilence() {
	rested := !c.taken.IsZero()
	if rested && c.received.Load() == c.heard && time.Since(c.taken) >= mostSilent {
		c.pool.distrust(c.address, c.taken)
	}
}

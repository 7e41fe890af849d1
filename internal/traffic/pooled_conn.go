package traffic

import (
	"bufio"
	"context"
	"io"
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
	pool            *pool
	address         string
	reader          *bufio.Reader
	writer          *bufio.Writer
	probe           probe
	idleSince       time.Time
	idleFor         time.Duration // idle time before the current request; 0: the connection is new
	receivedBefore  int64         // bytes read before the current request
	takenAt         time.Time     // when the current request took it from the pool; zero: the connection is new
	interrupter     func()        // interrupt, bound once to save an allocation per request
	stopInterrupt   func() bool
	ackState        atomic.Int32  // ackPending, ackReceived or ackMissed
	bodyStarted     bool          // whether the body is being sent or has been sent
	bodyWriter      *bodyWriter   // sends the body while the response is read; nil: there is none
	peerIdleTimeout time.Duration // idle timeout announced by the other side; 0: none
}

// maxInformational is the number of informational responses before the final one.
const maxInformational = 5

// isUsable reports whether the other side has neither closed an idle connection nor sent
// unexpected data on it.
func (c *pooledConn) isUsable() bool { return !c.hasExcess() && c.probe.isIdle() }

// hasExcess reports whether bytes arrived behind the last response.
func (c *pooledConn) hasExcess() bool { return c.reader.Buffered() > 0 || c.responses.Err() != nil }

// begin prepares for a request and interrupts the connection when the context ends.
func (c *pooledConn) begin(ctx context.Context, method string) {
	c.responses.Begin(method)
	c.stopInterrupt = context.AfterFunc(ctx, c.interrupter)
}

func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// finish returns the connection to the pool after a complete response. A connection that was
// interrupted, that received more than one response, or whose body has not been written
// completely, is closed.
func (c *pooledConn) finish(reusable bool) {
	if !c.stopInterrupt() || !reusable || c.hasExcess() || !c.bodyWriter.isWhole() {
		c.close()
		return
	}
	c.pool.put(c)
}

// abandon closes the connection before its request has ended.
func (c *pooledConn) abandon() {
	c.stopInterrupt()
	c.close()
}

func (c *pooledConn) close() {
	_ = c.Close()
	c.pool.release()
}

// readNextResponse discards a late response to another request and reads the one after it.
func (c *pooledConn) readNextResponse(x *exchange, late *http.Response) (*http.Response, error) {
	if !framed(late) {
		return nil, fault.New(fault.Worker, "answer each request once", "a late response has neither a length nor chunks")
	}
	if _, err := io.Copy(io.Discard, late.Body); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, x.request)
}

// recordPeerIdleTimeout reads the idle timeout of the other side from the Keep-Alive header.
func (c *pooledConn) recordPeerIdleTimeout(response *http.Response) {
	_, value, found := strings.Cut(get(response.Header, "Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if timeout, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && timeout > 0 {
		c.peerIdleTimeout = time.Duration(timeout) * time.Second
	}
}

// withinPeerIdleTimeout reports whether the other side still keeps open a connection that has
// been idle for a time, with a margin for network delay.
func (c *pooledConn) withinPeerIdleTimeout(idle time.Duration) bool {
	const marginDivisor = 4
	if c.peerIdleTimeout > 0 && idle >= c.peerIdleTimeout-c.peerIdleTimeout/marginDivisor {
		return false
	}
	return idle < maxIdleTime
}

// attemptFailure returns the result of a failed attempt. If the body waited for 100
// Continue and was not requested, the request cannot have run.
func (c *pooledConn) attemptFailure(x *exchange, to *hop, mayHaveSent bool, reason error) result {
	if to.expectsContinue(x) && !c.bodyStarted {
		mayHaveSent = false
	}
	if c.isUnresponsive() && x.context.Err() == nil {
		return unresponsive(mayHaveSent)
	}
	return roundTripFailure(x, mayHaveSent, reason)
}

// discardBody reads and discards the body of a response that is not forwarded, so that the
// connection can be reused. It reports whether the whole body was already buffered.
func (c *pooledConn) discardBody(response *http.Response) bool {
	length := response.ContentLength
	if length < 0 || length > int64(c.reader.Buffered()) {
		return false
	}
	_, err := c.reader.Discard(int(length))
	return err == nil
}

// connBody is a response's body that returns its connection to the pool at its end.
type connBody struct {
	io.ReadCloser
	conn     *pooledConn
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *connBody) Read(buffer []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.ended = true
		b.conn.finish(b.reusable)
	}
	return count, err
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *connBody) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.abandon()
	}
	return nil
}

// closeUnresponsiveIdle closes the older idle connections to the same address after a reused
// connection received no byte for at least maxAckTimeout. Connections that stop working do so
// together, and each of them would cost another request that time.
func (c *pooledConn) closeUnresponsiveIdle() {
	reused := !c.takenAt.IsZero()
	if reused && c.received.Load() == c.receivedBefore && time.Since(c.takenAt) >= maxAckTimeout {
		c.pool.closeIdleBefore(c.address, c.takenAt)
	}
}

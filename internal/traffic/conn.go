package traffic

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/responsecheck"
)

// sealedConn is a connection that counts the bytes written and read, and that can be sealed: a
// sealed connection writes nothing more. The number of bytes written is therefore final once
// seal has returned it. Its reader learns of a reset that only its writer was told of.
type sealedConn struct {
	net.Conn
	responses responsecheck.Checker
	received  atomic.Int64
	mutex     sync.Mutex
	written   int64
	sealed    bool

	writing sync.Mutex // held during a write, guards aborted
	aborted error      // why a write failed that found the connection reset or timed out
}

// Read implements net.Conn. What is no response is an error. It returns io.EOF only if the other
// side closed the connection: the kernel reports a reset once, to a read or to a write, and every
// later read finds an end of file; such a read returns the error that the write got.
func (c *sealedConn) Read(buffer []byte) (int, error) {
	count, err := c.responses.Read(countingReader{c}, buffer)
	if err == io.EOF {
		err = cmp.Or(c.endWrites(), err)
	}
	return count, err
}

// countingReader counts the bytes that arrive on a connection, valid or not.
type countingReader struct{ conn *sealedConn }

// Read implements io.Reader.
func (r countingReader) Read(buffer []byte) (int, error) {
	count, err := r.conn.Conn.Read(buffer)
	r.conn.received.Add(int64(count))
	return count, err
}

// endWrites ends a write in progress and all later ones, and returns why an earlier write found
// the connection aborted, nil if none did.
func (c *sealedConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.aborted
}

// isAbort reports whether the error of a write means that the connection was aborted before the
// other side closed it. EPIPE without an earlier error means that it was closed first.
func isAbort(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Write implements net.Conn. The bytes are counted before they are written.
func (c *sealedConn) Write(data []byte) (int, error) {
	if !c.countWrite(len(data)) {
		return 0, fault.New(fault.Internal, "send the request again if it may be repeated", "the connection was sealed after a failed attempt")
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(data)
	if err != nil && isAbort(err) {
		c.aborted = err
	}
	return count, err
}

// countWrite counts bytes that are about to be written, and returns false if the connection is
// sealed.
func (c *sealedConn) countWrite(length int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(length)
	return true
}

// bytesWritten returns the number of bytes written so far.
func (c *sealedConn) bytesWritten() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// seal stops all writes and returns the number of bytes written before.
func (c *sealedConn) seal() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

// sealedDial wraps the connections of a dialer and bounds the time to open one, so that time
// remains to attempt another node.
func sealedDial(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealedConn{Conn: conn}, nil
	}
}

// writeTracker tracks whether bytes of one request were sent. The transport of net/http may
// resend a request by itself when a reused connection fails, including one with an
// Idempotency-Key header; once a byte was sent on one connection, writeTracker prevents writes
// on a second one.
type writeTracker struct {
	trace            httptrace.ClientTrace
	method           string // of the request
	conn             *sealedConn
	writtenBefore    int64 // bytes written on conn before this request
	receivedBefore   int64 // bytes read on conn before this request
	earlierConnWrote bool  // whether bytes were written on an earlier connection
}

func newWriteTracker(method string) *writeTracker {
	s := &writeTracker{method: method}
	s.trace.GotConn = s.gotConn
	return s
}

// in returns a context in which the transport reports its connections to the tracker.
func (s *writeTracker) in(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &s.trace)
}

// gotConn is called by the transport on the goroutine of the round trip.
func (s *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*sealedConn)
	if !ok {
		s.earlierConnWrote = true
		return
	}
	if s.mayHaveSent() {
		s.earlierConnWrote = true
		conn.seal()
	}
	conn.responses.Begin(s.method)
	s.conn = conn
	s.writtenBefore = conn.bytesWritten()
	s.receivedBefore = conn.received.Load()
}

// stale reports whether the response arrived before the request was sent, so that it belongs
// to an earlier request on the connection.
func (s *writeTracker) stale() bool {
	return s.conn != nil && s.conn.received.Load() == s.receivedBefore
}

// abandon closes the connection, because its responses no longer match its requests.
func (s *writeTracker) abandon() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// mayHaveSent reports whether any byte of the request may have been sent, and prevents later
// writes. It is called when the round trip has failed.
func (s *writeTracker) mayHaveSent() bool {
	if s.conn == nil {
		return s.earlierConnWrote
	}
	return s.conn.seal() > s.writtenBefore || s.earlierConnWrote
}

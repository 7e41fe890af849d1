package traffic

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"sliphead/internal/fault"
)

// sealedConn is a connection that counts the bytes written and read, and that can be sealed: a
// sealed connection writes nothing more. The number of bytes written is therefore final once
// seal has returned it.
type sealedConn struct {
	net.Conn
	received atomic.Int64
	mutex    sync.Mutex
	written  int64
	sealed   bool
}

// Read implements net.Conn.
func (c *sealedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn. The bytes are counted before they are written.
func (c *sealedConn) Write(data []byte) (int, error) {
	if !c.countWrite(len(data)) {
		return 0, fault.New(fault.Internal, "send the request again if it may be repeated", "the connection was sealed after a failed attempt")
	}
	return c.Conn.Write(data)
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
	conn             *sealedConn
	writtenBefore    int64 // bytes written on conn before this request
	receivedBefore   int64 // bytes read on conn before this request
	earlierConnWrote bool  // whether bytes were written on an earlier connection
}

func newWriteTracker() *writeTracker {
	s := &writeTracker{}
	s.trace.GotConn = s.gotConn
	return s
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

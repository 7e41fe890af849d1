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

// sealedConn is a connection that counts what is written and read and can be
// sealed: once sealed it writes nothing more. So the answer to "did any byte
// of this request leave?" stays true after it was given.
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

// Write implements net.Conn. The bytes count before they are written.
func (c *sealedConn) Write(data []byte) (int, error) {
	if !c.begin(len(data)) {
		return 0, fault.New(fault.Internal, "send the request again if it may be repeated", "the connection was given up")
	}
	return c.Conn.Write(data)
}

func (c *sealedConn) begin(length int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(length)
	return true
}

// count returns the bytes written so far.
func (c *sealedConn) count() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// seal stops all writes and returns the bytes written until then.
func (c *sealedConn) seal() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

// sealedDial wraps the connections of a dialer and bounds the time to open one,
// so that time is left to try another node.
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

// sending watches one request on its way out. The transport of net/http may
// send a request again by itself when a reused connection dies, also one with
// an Idempotency-Key header; sending lets no second connection be written to
// once a byte went out on the first.
type sending struct {
	trace httptrace.ClientTrace
	conn  *sealedConn
	base  int64 // bytes written on conn before this request
	heard int64 // bytes read on conn before this request
	wrote bool  // whether an earlier connection took bytes
}

func newSending() *sending {
	s := &sending{}
	s.trace.GotConn = s.gotConn
	return s
}

// gotConn runs on the goroutine of the round trip.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*sealedConn)
	if !ok {
		s.wrote = true
		return
	}
	if s.left() {
		s.wrote = true
		conn.seal()
	}
	s.conn = conn
	s.base = conn.count()
	s.heard = conn.received.Load()
}

// stale reports whether the answer had come before the request was sent: it is
// left over from another request on the connection.
func (s *sending) stale() bool {
	return s.conn != nil && s.conn.received.Load() == s.heard
}

// abandon closes the connection: its answers no longer match its requests.
func (s *sending) abandon() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// left reports whether any byte of the request may have left, and sees to it
// that none leaves later. It is called when the round trip has failed.
func (s *sending) left() bool {
	if s.conn == nil {
		return s.wrote
	}
	return s.conn.seal() > s.base || s.wrote
}

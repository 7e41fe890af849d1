package worker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener closes connections beyond a bound at once and makes each new
// one cost time before its first byte is read.
type boundedListener struct {
	net.Listener
	bound    int64
	cost     time.Duration
	open     atomic.Int64
	accepted atomic.Int64
	refused  atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.bound {
			l.open.Add(-1)
			l.refused.Add(1)
			_ = connection.Close()
			continue
		}
		l.accepted.Add(1)
		return &countedConnection{Conn: connection, listener: l}, nil
	}
}

// countedConnection gives its place back when it is closed.
type countedConnection struct {
	net.Conn
	listener *boundedListener
	paid     sync.Once
	closed   sync.Once
}

// Read implements net.Conn.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	c.paid.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

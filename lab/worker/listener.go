package worker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener limits the number of open connections by closing further ones
// at once. It delays the first read of each connection to simulate the cost of
// its setup.
type boundedListener struct {
	net.Listener
	maxOpen        int64
	firstReadDelay time.Duration
	open           atomic.Int64
	accepted       atomic.Int64
	rejected       atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.maxOpen {
			l.open.Add(-1)
			l.rejected.Add(1)
			_ = connection.Close()
			continue
		}
		l.accepted.Add(1)
		return &countedConnection{Conn: connection, listener: l}, nil
	}
}

// countedConnection decrements the number of open connections when it is closed.
type countedConnection struct {
	net.Conn
	listener       *boundedListener
	delayFirstRead sync.Once
	closeOnce      sync.Once
}

// Read implements net.Conn.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	c.delayFirstRead.Do(func() { time.Sleep(c.listener.firstReadDelay) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

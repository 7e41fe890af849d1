package traffic

import (
	"net"
	"time"
)

// probe checks without blocking whether an idle connection has received data or was closed.
type probe struct {
	conn net.Conn
	raw  rawProbe
}

func (p *probe) prepare(conn net.Conn) {
	p.conn = conn
	p.raw.prepare(conn)
}

// isIdle reports whether the connection is open and has received no data.
func (p *probe) isIdle() bool {
	if idle, supported := p.raw.isIdle(); supported {
		return idle
	}
	return p.isIdleByDeadline()
}

// isIdleByDeadline checks connections that are not sockets, such as those of net.Pipe. A read
// with a deadline in the past distinguishes a closed connection from an open one, but does not
// detect received data.
func (p *probe) isIdleByDeadline() bool {
	if p.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := p.conn.Read(make([]byte, 1))
	failure, ok := err.(net.Error)
	return ok && failure.Timeout() && p.conn.SetReadDeadline(time.Time{}) == nil
}

package traffic

import (
	"net"
	"time"
)

// probe looks whether anything has come on an idle connection without waiting.
type probe struct {
	conn net.Conn
	raw  rawProbe
}

func (p *probe) prepare(conn net.Conn) {
	p.conn = conn
	p.raw.prepare(conn)
}

// quiet reports whether the connection is open and nothing has come on it.
func (p *probe) quiet() bool {
	if quiet, known := p.raw.quiet(); known {
		return quiet
	}
	return p.quietByDeadline()
}

// quietByDeadline serves connections that are no sockets, such as those of
// net.Pipe: a read with a deadline in the past tells an end from
// silence, and sees no data.
func (p *probe) quietByDeadline() bool {
	if p.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := p.conn.Read(make([]byte, 1))
	failure, ok := err.(net.Error)
	return ok && failure.Timeout() && p.conn.SetReadDeadline(time.Time{}) == nil
}

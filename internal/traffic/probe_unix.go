//go:build unix

package traffic

import (
	"net"
	"syscall"
)

// rawProbe reads from a socket, which never waits.
type rawProbe struct {
	raw    syscall.RawConn
	read   func(descriptor uintptr) bool // readOnce, made once
	buffer [1]byte
	err    error
}

func (p *rawProbe) prepare(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	p.raw = raw
	p.read = p.readOnce
}

func (p *rawProbe) readOnce(descriptor uintptr) bool {
	_, p.err = syscall.Read(int(descriptor), p.buffer[:])
	return true
}

// quiet reports whether nothing has come, not known for what is no socket.
func (p *rawProbe) quiet() (quiet, known bool) {
	if p.raw == nil {
		return false, false
	}
	if err := p.raw.Read(p.read); err != nil {
		return false, true
	}
	return p.err == syscall.EAGAIN || p.err == syscall.EWOULDBLOCK, true
}

//go:build unix

package traffic

import (
	"net"
	"syscall"
)

// rawProbe reads from a non-blocking socket.
type rawProbe struct {
	raw    syscall.RawConn
	read   func(descriptor uintptr) bool // readOnce, stored to avoid an allocation for each probe
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

// isIdle reports whether the socket is open and has received no data. It supports sockets only.
func (p *rawProbe) isIdle() (idle, supported bool) {
	if p.raw == nil {
		return false, false
	}
	if err := p.raw.Read(p.read); err != nil {
		return false, true
	}
	return p.err == syscall.EAGAIN || p.err == syscall.EWOULDBLOCK, true
}

package liveness

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// option returns a socket option of a connection.
func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	value := 0
	must.NoError(t, raw.Control(func(descriptor uintptr) {
		value, err = unix.GetsockoptInt(int(descriptor), level, name)
	}))
	must.NoError(t, err)
	return value
}

// Both the dialed and the accepted connection have the socket options that detect an
// unresponsive peer: keep-alive probes and the timeout for unacknowledged bytes.
func TestBothSidesDetectAnUnresponsivePeer(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := Dialer(net.ParseIP("127.0.0.1"), time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	for _, side := range []net.Conn{dialed, accepted} {
		must.Eq(t, int(UnacknowledgedTimeout.Milliseconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
		must.Eq(t, 1, option(t, side, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		must.Eq(t, int(keepAliveIdle.Seconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
		must.Eq(t, int(keepAliveInterval.Seconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		must.Eq(t, keepAliveCount, option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	}
}

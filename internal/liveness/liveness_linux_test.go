package liveness

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// option reads an option of a connection's socket.
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

// Both sides of a connection notice an other side that is silent for good: each probes,
// and gives up what is not acknowledged.
func TestBothSidesNoticeSilence(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, err := Dialer(net.ParseIP("127.0.0.1"), time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = near.Close() }()
	far, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = far.Close() }()
	for _, side := range []net.Conn{near, far} {
		must.Eq(t, int(Unacknowledged.Milliseconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
		must.Eq(t, 1, option(t, side, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		must.Eq(t, int(probeAfter.Seconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
		must.Eq(t, int(probeEvery.Seconds()), option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		must.Eq(t, probes, option(t, side, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	}
}

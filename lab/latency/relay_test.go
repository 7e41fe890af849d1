package latency

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// A relay must forward bytes and the end of the stream in both directions.
func TestRelayForwardsBytesAndEndOfStreamBothWays(t *testing.T) {
	server, relayListener := listen(t), listen(t)
	go func() {
		conn, err := server.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}
	}()
	running, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- Relay(running, relayListener, server.Addr().String()) }()
	conn, err := net.Dial("tcp", relayListener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "price=125")
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	text, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "price=125", string(text))
	stop()
	must.NoError(t, <-ended)
}

package keeper

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// A keeper can be started on the address of one whose Run has returned. Fault: Run returned while
// its socket was still being closed, if a datagram arrived when the context ended, and the next
// node could not start.
func TestKeeperLeavesItsAddressWhenRunReturns(t *testing.T) {
	reserved, err := net.ListenPacket("udp", "127.93.0.1:0")
	must.NoError(t, err)
	address := reserved.LocalAddr().String()
	must.NoError(t, reserved.Close())
	host, port, err := net.SplitHostPort(address)
	must.NoError(t, err)
	sender, err := net.Dial("udp", address)
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	flooding, stopFlood := context.WithCancel(t.Context())
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for flooding.Err() == nil {
			_, _ = sender.Write([]byte("{}")) // fails while no keeper listens
		}
	}()
	defer func() { stopFlood(); <-flooded }()
	const starts = 100
	for range starts {
		ctx, cancel := context.WithCancel(t.Context())
		keeper := New(Config{Address: host, Listen: host, Port: port})
		ended := make(chan error, 1)
		go func() { ended <- keeper.Run(ctx) }()
		_, err := sender.Write([]byte("{}"))
		for err != nil { // until the keeper listens
			_, err = sender.Write([]byte("{}"))
		}
		cancel()
		must.NoError(t, <-ended)
	}
}

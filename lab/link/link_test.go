package link

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	senderZone   = "sender"
	receiverZone = "receiver"
)

func newNetwork(t *testing.T, conditions Conditions) *Network {
	t.Helper()
	network := New(func(netip.Addr) string { return senderZone }, conditions, 1)
	t.Cleanup(network.Close)
	return network
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// echoServer starts a server that returns what it reads and closes a connection
// after the client has.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func TestStreamForwardsBytesAndHalfCloseAndStallsWhileCut(t *testing.T) {
	network := newNetwork(t, Conditions{})
	advertised := freeAddress(t)
	must.NoError(t, network.Streams(advertised, echoServer(t), receiverZone))
	connection, err := net.Dial("tcp", advertised)
	must.NoError(t, err)
	defer connection.Close()
	exchange := func(text string) {
		_, err := connection.Write([]byte(text))
		must.NoError(t, err)
		buffer := make([]byte, len(text))
		_, err = io.ReadFull(connection, buffer)
		must.NoError(t, err)
		must.Eq(t, text, string(buffer))
	}
	exchange("before")
	network.Cut(senderZone, receiverZone, true)
	carried := network.Counts().StreamBytes
	_, err = connection.Write([]byte("during"))
	must.NoError(t, err)
	must.NoError(t, connection.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = connection.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, carried, network.Counts().StreamBytes)
	network.Cut(senderZone, receiverZone, false)
	must.NoError(t, connection.SetReadDeadline(time.Time{}))
	must.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	must.NoError(t, err)
	must.Eq(t, "during", string(rest))
}

func TestStreamToUnreachableServerIsReset(t *testing.T) {
	network := newNetwork(t, Conditions{})
	advertised := freeAddress(t)
	must.NoError(t, network.Streams(advertised, freeAddress(t), receiverZone))
	connection, err := net.Dial("tcp", advertised)
	if err == nil { // the reset may arrive before the dial returns
		_, err = connection.Read(make([]byte, 1))
		_ = connection.Close()
	}
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestDatagramsAreForwardedAndDroppedWhileCut(t *testing.T) {
	network := newNetwork(t, Conditions{})
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	defer receiver.Close()
	advertised := freeAddress(t)
	must.NoError(t, network.Datagrams(advertised, receiver.LocalAddr().String(), receiverZone))
	sender, err := net.Dial("udp", advertised)
	must.NoError(t, err)
	defer sender.Close()

	network.Cut(senderZone, receiverZone, true)
	_, err = sender.Write([]byte("lost"))
	must.NoError(t, err)
	for network.Counts().Lost == 0 {
		time.Sleep(time.Millisecond)
	}
	network.Cut(senderZone, receiverZone, false)
	_, err = sender.Write([]byte("passed"))
	must.NoError(t, err)
	buffer := make([]byte, 100)
	count, _, err := receiver.ReadFrom(buffer)
	must.NoError(t, err)
	must.Eq(t, "passed", string(buffer[:count]))
}

func TestDeliveryWaitsForTheDelayOfThePair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(func(netip.Addr) string { return senderZone }, Conditions{Delay: time.Minute}, 1)
		pair := Pair{From: senderZone, To: receiverZone}
		network.Set(pair, Conditions{Delay: time.Hour})
		begin := time.Now()
		must.True(t, network.waitForDelivery(context.Background(), pair, begin))
		must.Eq(t, time.Hour, time.Since(begin))
		must.True(t, network.waitForDelivery(context.Background(), Pair{From: receiverZone, To: senderZone}, begin.Add(time.Hour)))
		must.Eq(t, time.Hour+time.Minute, time.Since(begin))
	})
}

func TestLossMatchesItsShareAndRepeatsWithItsSeed(t *testing.T) {
	lost := func(seed uint64) int {
		network := New(nil, Conditions{}, seed)
		count := 0
		for range 10000 {
			if network.drops(Conditions{Loss: 0.05}) {
				count++
			}
		}
		return count
	}
	must.Eq(t, lost(1), lost(1))
	must.Between(t, 400, lost(1), 600)
}

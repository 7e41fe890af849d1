package transport

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 20 * time.Second

// testNode is a transport that runs until the test ends.
type testNode struct {
	*Transport
	received chan Received
	stop     func()
}

// startNode runs a transport on a free loopback port.
func startNode(t *testing.T, name string, change func(*Config)) *testNode {
	t.Helper()
	received := make(chan Received, 10000)
	config := Config{
		Bind:     "127.0.0.1:0",
		Self:     func() wire.Member { return wire.Member{Name: name, Status: wire.StatusAlive} },
		Security: Security{Plain: true},
		Deliver:  func(message Received) { received <- message },
		Random:   rand.New(rand.NewPCG(1, 2)),
	}
	if change != nil {
		change(&config)
	}
	transport, err := New(config)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	<-transport.Bound()
	stop := sync.OnceFunc(func() {
		cancel()
		must.NoError(t, <-ended)
	})
	t.Cleanup(stop)
	return &testNode{Transport: transport, received: received, stop: stop}
}

// awaitMessage waits for a message of the given kind and skips others.
func (n *testNode) awaitMessage(t *testing.T, kind string) Received {
	t.Helper()
	for {
		select {
		case message := <-n.received:
			if message.Envelope.Kind() == kind {
				return message
			}
		case <-time.After(testTimeout):
			t.Fatalf("no %s message received within the timeout, counters %+v", kind, n.Counters())
		}
	}
}

// awaitCounters waits for a condition on the counters.
func (n *testNode) awaitCounters(t *testing.T, condition func(Counters) bool) {
	t.Helper()
	for started := time.Now(); !condition(n.Counters()); time.Sleep(time.Millisecond) {
		if time.Since(started) > testTimeout {
			t.Fatalf("condition on the counters not met within the timeout, counters %+v", n.Counters())
		}
	}
}

// dialDelay returns the delay before the next dial of an address with a link.
func (n *testNode) dialDelay(address string) time.Duration {
	n.mutex.Lock()
	peer := n.links[address]
	n.mutex.Unlock()
	return peer.dialDelay()
}

// logBuffer is a log buffer that is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) count(part string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Count(l.text.String(), part)
}

func stagedMessage(from string, revision uint64) wire.Envelope {
	return wire.Envelope{From: from, Staged: &wire.Staged{Version: version.Version{Revision: revision}}}
}

func TestMessagesArriveInOrderOnOneStream(t *testing.T) {
	for _, compression := range []Compression{CompressionDeflate, CompressionNone} {
		alpha := startNode(t, "alpha", func(config *Config) { config.Compression = compression })
		beta := startNode(t, "beta", nil)
		const count = 200
		for revision := range uint64(count) {
			alpha.Send(beta.Address(), stagedMessage("alpha", revision))
		}
		must.Eq(t, "alpha", beta.awaitMessage(t, "hello").Envelope.Hello.Member.Name)
		for revision := range uint64(count) {
			must.Eq(t, revision, beta.awaitMessage(t, "staged").Envelope.Staged.Version.Revision)
		}
		must.Eq(t, 1, alpha.Counters().StreamsOpened)
		must.Eq(t, 0, alpha.Counters().Dropped)
		// The sender updates its counters after the write returns, which may be after the
		// receiver has read everything.
		alpha.awaitCounters(t, func(sent Counters) bool { return sent.StreamBytesSent == beta.Counters().StreamBytesReceived })
	}
}

func TestDatagramsArrive(t *testing.T) {
	alpha := startNode(t, "alpha", nil)
	beta := startNode(t, "beta", nil)
	alpha.SendDatagram(beta.Address(), wire.Envelope{From: "alpha", Ping: &wire.Ping{Number: 7}})
	message := beta.awaitMessage(t, "ping")
	must.True(t, message.Datagram)
	must.Eq(t, alpha.Address(), message.Remote)
	must.Eq(t, 7, message.Envelope.Ping.Number)
}

func TestIdleStreamCloses(t *testing.T) {
	alpha := startNode(t, "alpha", func(config *Config) { config.Limits.IdleTimeout = 20 * time.Millisecond })
	beta := startNode(t, "beta", nil)
	for opened := range uint64(3) {
		alpha.Send(beta.Address(), stagedMessage("alpha", opened))
		beta.awaitMessage(t, "staged")
		alpha.awaitCounters(t, func(counters Counters) bool { return counters.StreamsOut == 0 })
		must.Eq(t, opened+1, alpha.Counters().StreamsOpened)
	}
	must.Eq(t, 0, alpha.Counters().Dropped)
	must.Eq(t, 0, beta.Counters().StreamsClosedForFault)
}

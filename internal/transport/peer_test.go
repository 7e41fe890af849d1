package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/klauspost/compress/flate"
	"github.com/shoenig/test/must"

	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// encodeLine encodes a message.
func encodeLine(t *testing.T, envelope wire.Envelope) string {
	t.Helper()
	encoded, err := wire.Encode(envelope)
	must.NoError(t, err)
	return string(encoded)
}

// compress compresses text into one deflate stream.
func compress(t *testing.T, text []byte) string {
	t.Helper()
	var coded bytes.Buffer
	must.NoError(t, flate.StatelessDeflate(&coded, text, false, nil))
	return coded.String()
}

// When a peer violates the protocol, its stream is closed, no message from the
// violation on is delivered, and the cause is logged once even if it reconnects.
func TestProtocolViolationClosesStream(t *testing.T) {
	hello := encodeLine(t, wire.Envelope{From: "mallory", Hello: &wire.Hello{Member: wire.Member{Name: "mallory"}}})
	good := encodeLine(t, stagedMessage("mallory", 1))
	for name, bad := range map[string]struct {
		cause     cause
		sent      string
		delivered int
	}{
		"unknown coding":       {causeGarbage, "x" + hello + good, 0},
		"invalid deflate data": {causeGarbage, "d\xff\xff\xff\xff\xff", 0},
		"invalid JSON":         {causeGarbage, "p" + hello + "}\n", 1},
		"no hello":             {causeForeign, "p" + good, 0},
		"foreign hello":        {causeForeign, "p" + encodeLine(t, wire.Envelope{From: "mallory", Hello: &wire.Hello{Member: wire.Member{Name: "alice"}}}), 0},
		"foreign message":      {causeForeign, "p" + hello + good + encodeLine(t, stagedMessage("alice", 2)), 2},
		"second hello":         {causeGarbage, "p" + hello + hello, 1},
		"busy from a dialer":   {causeGarbage, "p" + hello + encodeLine(t, wire.Envelope{From: "mallory", Busy: &wire.Busy{}}), 1},
		"endless line":         {causeTooLong, "p" + hello + string(bytes.Repeat([]byte("x"), 20<<10)), 1},
		"decompression bomb":   {causeBomb, "d" + compress(t, append([]byte(hello), bytes.Repeat([]byte(" "), 4<<20)...)), -1},
		"too many messages":    {causeRate, "p" + hello + string(bytes.Repeat([]byte(good), 30)), 21},
		"two messages in one":  {causeGarbage, "p" + hello + `{"from":"mallory","pull":{},"staged":{}}` + "\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			events := &logBuffer{}
			victim := startNode(t, "victim", func(config *Config) {
				config.Logger = logging.New(events, log.InfoLevel)
				config.Limits.MaxLineBytes = 16 << 10
				config.Limits.MessagesPerSecond = 1e-9
				config.Limits.MessageBurst = 20
				if bad.cause == causeBomb {
					config.Limits.MaxLineBytes = 8 << 20
					config.Limits.MessageBurst = 1 << 30
				}
			})
			for attempt := range uint64(2) {
				conn, err := net.Dial("tcp", victim.Address())
				must.NoError(t, err)
				must.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
				io.WriteString(conn, bad.sent)
				io.Copy(io.Discard, conn)
				conn.Close()
				victim.awaitCounters(t, func(counters Counters) bool { return counters.StreamsClosedForFault == attempt+1 })
			}
			victim.awaitCounters(t, func(counters Counters) bool { return counters.StreamsIn == 0 })
			must.Eq(t, 1, events.count(fmt.Sprintf("cause=%s ", bad.cause)))
			must.Eq(t, 1, events.count("\n"))
			if bad.delivered >= 0 {
				must.Eq(t, 2*bad.delivered, len(victim.received))
			}
		})
	}
}

func TestLongLinesShareOneMemoryBudget(t *testing.T) {
	shared := &budget{limit: 1 << 20}
	noBytes := func() int64 { return 0 }
	open := func(bytesSent int) *lineReader {
		reader, err := newLineReader(bytes.NewReader(append([]byte("p"), make([]byte, bytesSent)...)), 8<<20, shared, noBytes)
		must.NoError(t, err)
		return reader
	}
	first, second := open(600<<10), open(600<<10)
	_, err := first.next()
	must.ErrorIs(t, err, io.EOF)
	_, err = second.next()
	must.Eq(t, causeMemory, causeOf(err))
	first.release()
	second.release()
	must.Eq(t, 0, shared.used.Load())
	_, err = open(600 << 10).next()
	must.ErrorIs(t, err, io.EOF)
}

func TestBusyDelaysNextDialAndListsOtherPeers(t *testing.T) {
	for name, limits := range map[string]Limits{
		"too many streams": {MaxStreams: 1, RetryAfter: time.Hour},
		"rate exceeded":    {StreamsPerSecond: 1e-9, StreamBurst: 1, RetryAfter: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			relay := startNode(t, "relay", func(config *Config) {
				config.Limits = limits
				config.AlternativePeers = func() []wire.Member { return []wire.Member{{Name: "other"}} }
			})
			first := startNode(t, "first", nil)
			first.Send(relay.Address(), stagedMessage("first", 1))
			relay.awaitMessage(t, "staged")
			second := startNode(t, "second", nil)
			second.Send(relay.Address(), stagedMessage("second", 1))
			second.awaitCounters(t, func(counters Counters) bool { return counters.StreamsBusy == 1 && counters.StreamsOut == 0 })
			second.Send(relay.Address(), stagedMessage("second", 2))
			busy := second.awaitMessage(t, "busy").Envelope.Busy
			must.Eq(t, "other", busy.Others[0].Name)
			must.GreaterEq(t, (time.Hour / 2).Milliseconds(), busy.RetryAfterMS)
			second.awaitCounters(t, func(Counters) bool { return second.dialDelay(relay.Address()) > 0 })
			must.Greater(t, maxBusyWait/2, second.dialDelay(relay.Address()))
			must.Eq(t, 1, second.Counters().StreamsOpened)
			must.Eq(t, 1, relay.Counters().StreamsRefused)
			must.Eq(t, 2, relay.Counters().MessagesReceived)
		})
	}
}

// blackholeNetwork is a network on which dials block until their context ends.
type blackholeNetwork struct{ System }

func (blackholeNetwork) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestQueueIsBounded(t *testing.T) {
	alpha := startNode(t, "alpha", func(config *Config) {
		config.Network = blackholeNetwork{}
		config.Limits.QueueMessages = 10
		config.Limits.HandshakeTimeout = time.Hour
	})
	for revision := range uint64(100) {
		alpha.Send("127.0.0.1:9", stagedMessage("alpha", revision))
	}
	must.Eq(t, 90, alpha.Counters().Dropped)
	alpha.SendEncoded("127.0.0.1:10", make([]byte, 3<<20))
	alpha.SendEncoded("127.0.0.1:10", make([]byte, 3<<20))
	must.Eq(t, 91, alpha.Counters().Dropped)
}

func TestMessagesOlderThanQueueAgeAreDropped(t *testing.T) {
	alpha := startNode(t, "alpha", func(config *Config) { config.Limits.QueueAge = time.Nanosecond })
	beta := startNode(t, "beta", nil)
	alpha.Send(beta.Address(), stagedMessage("alpha", 1))
	beta.awaitMessage(t, "hello")
	alpha.awaitCounters(t, func(counters Counters) bool { return counters.Dropped == 1 && counters.MessagesSent == 1 })
}

func TestQueueToUnreachablePeerIsDroppedAndLoggedOnce(t *testing.T) {
	events := &logBuffer{}
	alpha := startNode(t, "alpha", func(config *Config) {
		config.Logger = logging.New(events, log.InfoLevel)
		config.Limits.BackoffBase = time.Nanosecond
		config.Limits.BackoffMax = time.Nanosecond
	})
	for _, address := range []string{"127.0.0.1:1", "peers.example:7000"} {
		for message := range uint64(3) {
			before := alpha.Counters().Dropped
			alpha.Send(address, stagedMessage("alpha", message))
			alpha.awaitCounters(t, func(counters Counters) bool { return counters.Dropped == before+1 })
		}
		must.Eq(t, 1, events.count("peer="+address))
	}
	must.Eq(t, 1, events.count("advertise an IP and a port"))
}

func TestStreamReopensAfterListenerRestart(t *testing.T) {
	alpha := startNode(t, "alpha", func(config *Config) { config.Limits.BackoffBase = time.Nanosecond })
	beta := startNode(t, "beta", nil)
	alpha.Send(beta.Address(), stagedMessage("alpha", 1))
	beta.awaitMessage(t, "staged")
	beta.stop()
	alpha.awaitCounters(t, func(counters Counters) bool { return counters.StreamsOut == 0 })
	again := startNode(t, "beta", func(config *Config) { config.Bind = beta.Address() })
	alpha.Send(beta.Address(), stagedMessage("alpha", 2))
	must.Eq(t, 2, again.awaitMessage(t, "staged").Envelope.Staged.Version.Revision)
}

func TestExcessStreamsOfPeerCloseTheOldest(t *testing.T) {
	victim := startNode(t, "victim", nil)
	hello := "p" + encodeLine(t, wire.Envelope{From: "alpha", Hello: &wire.Hello{Member: wire.Member{Name: "alpha"}}})
	conns := make([]net.Conn, 5)
	for index := range conns {
		conn, err := net.Dial("tcp", victim.Address())
		must.NoError(t, err)
		defer conn.Close()
		io.WriteString(conn, hello)
		victim.awaitMessage(t, "hello")
		conns[index] = conn
	}
	victim.awaitCounters(t, func(counters Counters) bool { return counters.StreamsIn == streamsPerPeer })
	io.WriteString(conns[4], encodeLine(t, stagedMessage("alpha", 1)))
	victim.awaitMessage(t, "staged")
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	victim := startNode(t, "victim", nil)
	alpha := startNode(t, "alpha", nil)
	alpha.SendDatagram(victim.Address(), stagedMessage("alpha", 1))
	alpha.SendDatagram(victim.Address(), wire.Envelope{From: "alpha", Gossip: &wire.Gossip{Updates: make([]wire.Member, 200)}})
	must.Eq(t, 1, alpha.Counters().Dropped)
	conn, err := net.Dial("udp", victim.Address())
	must.NoError(t, err)
	defer conn.Close()
	io.WriteString(conn, "garbage")
	conn.Write(append([]byte(encodeLine(t, wire.Envelope{From: "alpha", Ping: &wire.Ping{}})), bytes.Repeat([]byte(" "), wire.MaxDatagramBytes)...))
	victim.awaitCounters(t, func(counters Counters) bool { return counters.DatagramsRefused == 3 })
	must.Eq(t, 0, victim.Counters().MessagesReceived)
}

func TestBackoffIsFullJitter(t *testing.T) {
	draws := jitter{random: rand.New(rand.NewPCG(1, 1))}
	for failures, bound := range map[int]time.Duration{1: 100, 2: 200, 5: 1600, 7: 5000, 1000: 5000} {
		shortest, longest := time.Duration(1<<62), time.Duration(0)
		for range 5000 {
			wait := draws.backoff(100, 5000, failures)
			shortest, longest = min(shortest, wait), max(longest, wait)
		}
		must.LessEq(t, bound, longest)
		must.Greater(t, bound*9/10, longest)
		must.Less(t, bound/10, shortest)
	}
}

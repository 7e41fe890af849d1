package keeper

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"sliphead/internal/quarantine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var startTime = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func requestNumber(number int) quarantine.Fingerprint {
	request := quarantine.Request{Method: "GET", Host: "shop.example", Target: fmt.Sprint("/", number)}
	return request.Fingerprint()
}

func TestMessageRoundTrip(t *testing.T) {
	sent := quarantine.Message{From: "10.0.0.1", Sum: 1<<63 + 5, RequestRecords: true, IsReply: true, Records: []quarantine.Record{
		{Fingerprint: requestNumber(1), Kind: quarantine.Crashed, Generation: 2, Source: "i-1", At: startTime.Add(-1500 * time.Millisecond)},
		{Fingerprint: requestNumber(2), Kind: quarantine.Released, Source: "operator", At: startTime},
	}}
	line, err := encode(sent, startTime)
	must.NoError(t, err)
	read, err := decode(line, startTime)
	must.NoError(t, err)
	must.Eq(t, sent, read)
}

// A full message must fit into a datagram that no link fragments.
func TestFullMessageFitsDatagram(t *testing.T) {
	const records, datagram = 14, 1400
	message := quarantine.Message{From: "10.200.100.100", Sum: 1 << 63}
	for number := range records {
		message.Records = append(message.Records, quarantine.Record{Fingerprint: requestNumber(number), Kind: quarantine.Crashed, Source: "i-f0624b4e6e", At: startTime.Add(-time.Hour)})
	}
	line, err := encode(message, startTime)
	must.NoError(t, err)
	must.LessEq(t, datagram, len(line))
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	for _, line := range []string{"", "{}", `{"from":"10.0.0.1"}`, `{"from":"here","sum":"0"}`, `{"from":"10.0.0.1","sum":"0","records":[{"f":"short","k":"crashed","s":"i-1"}]}`} {
		_, err := decode([]byte(line), startTime)
		must.Error(t, err, must.Sprint(line))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"from":"10.0.0.1","sum":"ff","ask":true,"records":[{"f":"AAAAAAAAAAAAAAAAAAAAAA","k":"crashed","s":"i-1","a":-5}]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := decode(line, startTime)
		if err != nil {
			return
		}
		for _, record := range message.Records {
			must.False(t, record.At.After(startTime))
		}
	})
}

// fleet runs keepers on separate loopback addresses, with a clock that the test can advance.
type fleet struct {
	keepers     []*Keeper
	clockOffset atomic.Int64 // in nanoseconds
}

func newFleet(t *testing.T, size int) *fleet {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	_, port, _ := net.SplitHostPort(socket.LocalAddr().String())
	must.NoError(t, socket.Close())
	f := &fleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var addresses []string
	for index := range size {
		address := fmt.Sprintf("127.95.1.%d", index+1)
		addresses = append(addresses, address)
		f.keepers = append(f.keepers, New(Config{Address: address, Listen: address, Port: port, Now: func() time.Time {
			return time.Now().Round(0).Add(time.Duration(f.clockOffset.Load()))
		}}))
	}
	ended := make(chan error, size)
	for _, each := range f.keepers {
		each.Peers(addresses)
		go func() { ended <- each.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range size {
			must.NoError(t, <-ended)
		}
	})
	return f
}

func (f *fleet) waitForState(t *testing.T, state quarantine.State) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for _, each := range f.keepers {
			if verdict, _ := each.Verdict(requestNumber(1)); verdict.State != state {
				return false
			}
		}
		return true
	}), wait.Timeout(30*time.Second), wait.Gap(5*time.Millisecond)))
}

// Three crashes on three nodes must hold a request on all nodes. After the delay exactly one of
// many concurrent calls may begin the trial, and a response must release the request on all
// nodes.
func TestKeepersConverge(t *testing.T) {
	f := newFleet(t, 5)
	for index, each := range f.keepers[:3] {
		each.WorkerCrashed(t.Context(), fmt.Sprint("i-", index), []quarantine.Fingerprint{requestNumber(1)})
	}
	f.waitForState(t, quarantine.Held)
	must.True(t, f.keepers[4].HasHead(requestNumber(1).Head()))
	must.False(t, f.keepers[4].HasHead(requestNumber(2).Head()))
	must.False(t, f.keepers[4].BeginTrial(t.Context(), requestNumber(1), "i-4"), must.Sprint("no trial may begin while the request is held"))
	must.Eq(t, 1, f.keepers[3].Status().Held)

	f.clockOffset.Store(int64(2 * time.Minute)) // as after a suspension
	f.waitForState(t, quarantine.OnTrial)
	begun := make(chan bool)
	const copies = 8
	for range copies {
		go func() { begun <- f.keepers[4].BeginTrial(t.Context(), requestNumber(1), "i-4") }()
	}
	allowed := 0
	for range copies {
		if <-begun {
			allowed++
		}
	}
	must.Eq(t, 1, allowed)
	f.waitForState(t, quarantine.Held)
	f.keepers[4].Answered(t.Context(), requestNumber(1), "i-4")
	f.waitForState(t, quarantine.Free)
}

// Calls must return when their context ends, even if the owner goroutine does not run.
func TestCallsEndWithTheirContext(t *testing.T) {
	keeper := New(Config{Address: "127.0.0.1", Listen: "127.0.0.1", Port: "0"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.False(t, keeper.BeginTrial(ctx, requestNumber(1), "i-1"))
	must.Eq(t, quarantine.Free, keeper.WorkerCrashed(ctx, "i-1", []quarantine.Fingerprint{requestNumber(1)}).State)
}

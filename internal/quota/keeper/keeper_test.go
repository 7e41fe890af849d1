package keeper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"sliphead/internal/catalog"
	"sliphead/internal/quota"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestMessageRoundTrip(t *testing.T) {
	for _, sent := range []quota.Message{
		{Kind: quota.Query, ID: 0, Tenant: "press", Tokens: 3},
		{Kind: quota.Reply, ID: 1<<32 - 1, Tokens: 2},
		{Kind: quota.Reply, ID: 7, Wait: 250 * time.Millisecond},
		{Kind: quota.Reply, ID: 7, NoStripe: true},
		{Kind: quota.Return, Tenant: "press", Tokens: 1},
		{Kind: quota.Cancel, ID: 9},
	} {
		line, err := encode(sent)
		must.NoError(t, err)
		read, err := decode(line)
		must.NoError(t, err)
		must.Eq(t, sent, read)
		const maxLine = 60
		must.LessEq(t, maxLine, len(line), must.Sprint(string(line)))
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	for _, line := range []string{
		"", "{}", "[]", `{"q":1}`, `{"q":1,"t":"press"}`, `{"q":1,"a":1,"t":"press","n":1}`, `{"q":1,"d":1,"t":"press","n":1}`, `{"q":-1,"t":"press","n":1}`, `{"t":"press"}`,
		`{"t":"press","n":-1}`, `{"q":1,"t":"press","n":1001}`, `{"a":1,"w":-1}`, `{"a":1,"w":9223372036854775807}`, `{"n":1}`,
	} {
		_, err := decode([]byte(line))
		must.Error(t, err, must.Sprint(line))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"q":1,"t":"press","n":1}`))
	f.Add([]byte(`{"a":1,"n":1}`))
	f.Add([]byte(`{"a":1,"w":250}`))
	f.Add([]byte(`{"t":"press","n":1}`))
	f.Add([]byte(`{"d":1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := decode(line)
		if err != nil {
			return
		}
		must.Between(t, 0, message.Tokens, maxTokens)
		must.Between(t, 0, message.Wait, maxReplyWait)
		must.True(t, message.Kind == quota.Reply || message.Kind == quota.Cancel || message.Tenant != "" && message.Tokens > 0)
		again, err := encode(message)
		must.NoError(t, err)
		read, err := decode(again)
		must.NoError(t, err)
		must.Eq(t, message, read)
	})
}

// tenant has a limit of one request a second and a burst of 40.
var tenant = &catalog.Tenant{Name: "press", RatePerSecond: 1, Burst: 40}

// fleet runs keepers on separate loopback addresses, with a clock that the test can advance.
type fleet struct {
	keepers     []*Keeper
	clockOffset atomic.Int64 // in nanoseconds
}

func newFleet(t *testing.T, size int) *fleet {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	port := socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	must.NoError(t, socket.Close())
	f := &fleet{}
	start := time.Now().Round(0)
	now := func() time.Time { return start.Add(time.Duration(f.clockOffset.Load())) }
	configured := quota.Configured{Tenants: []catalog.Tenant{*tenant}}
	for index := range size {
		address := fmt.Sprintf("127.96.1.%d", index+1)
		configured.Hosts = append(configured.Hosts, quota.Host{Address: address, Zone: fmt.Sprint("z", index%2)})
		f.keepers = append(f.keepers, New(Config{
			Quota: quota.Config{
				Settings: quota.Settings{Window: 5 * time.Second, Overage: 0.25, Slack: 20},
				Self:     address, Zone: fmt.Sprint("z", index%2), PropagationDelay: time.Second,
			},
			Listen: netip.AddrPortFrom(netip.MustParseAddr(address), port), Now: now,
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, size)
	for _, each := range f.keepers {
		each.Configure(configured)
		go func() { ended <- each.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range size {
			must.NoError(t, <-ended)
		}
	})
	for _, each := range f.keepers {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return each.Status(t.Context()).Tenants == 1 }), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))
	}
	return f
}

// Keepers together must grant what the limit allows and no more, and a returned token must be
// granted again. The clock stands still, so that no tokens are added and no query times out.
func TestKeepersShareLimit(t *testing.T) {
	f := newFleet(t, 5)
	f.clockOffset.Store(int64(time.Hour))
	const stripes, total = 4, 50 // the burst and half of the slack
	granted := 0
	for index := range 2 * total {
		taken, retryAfter := f.keepers[index%len(f.keepers)].Take(t.Context(), tenant)
		if taken {
			granted++
			continue
		}
		must.Greater(t, 0, retryAfter)
	}
	must.Between(t, total-stripes, granted, total)
	f.keepers[0].Refund(tenant)
	taken, _ := f.keepers[0].Take(t.Context(), tenant)
	must.True(t, taken)
	must.Greater(t, 0, f.keepers[0].RequestCount(quota.Rejected))
}

// Take must return when its context ends, even if the owner goroutine has not started or has
// ended.
func TestTakeEndsWithItsContext(t *testing.T) {
	keeper := New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 * inputQueueSize {
		taken, retryAfter := keeper.Take(ctx, tenant)
		must.False(t, taken)
		must.Greater(t, 0, retryAfter)
	}
}

// BenchmarkCachedToken measures Take with a token that is already on the node.
func BenchmarkCachedToken(b *testing.B) {
	keeper := New(Config{
		Quota:  quota.Config{Settings: quota.Settings{Window: 5 * time.Second, Overage: 0.25, Slack: 20}, Self: "127.0.0.1"},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	often := catalog.Tenant{Name: "press", RatePerSecond: 1e9, Burst: 1e9}
	keeper.Configure(quota.Configured{Tenants: []catalog.Tenant{often}, Hosts: []quota.Host{{Address: "127.0.0.1"}}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- keeper.Run(ctx) }()
	for b.Loop() {
		keeper.Take(ctx, &often)
	}
	cancel()
	must.NoError(b, <-ended)
}

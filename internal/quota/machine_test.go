package quota

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

const (
	ownAddress  = "10.0.0.0"
	peerAddress = "10.0.0.1"
)

// newPair returns the machine of one of two nodes with a tenant, and a time one hour after its
// start.
func newPair(t *testing.T, rate, burst float64) (*Machine, time.Time) {
	t.Helper()
	m := New(Config{Settings: exampleSettings, Self: ownAddress, Zone: "z0", PropagationDelay: maxPropagation, Random: rand.NewPCG(1, 2)}, startTime)
	m.Step(Configured{Tenants: []catalog.Tenant{{Name: "press", RatePerSecond: rate, Burst: burst}}, Hosts: hostsIn(2, 2)}, startTime)
	return m, startTime.Add(time.Hour)
}

// drainOwnStripe takes all tokens of this node's stripe.
func (m *Machine) drainOwnStripe(now time.Time) int {
	granted, _ := m.find("press", now).ownStripe.take(math.MaxInt, now)
	return granted
}

func sendIn(t *testing.T, effects []Effect) Send {
	t.Helper()
	for _, effect := range effects {
		if sent, ok := effect.(Send); ok {
			return sent
		}
	}
	t.Fatalf("no message sent: %v", effects)
	return Send{}
}

func queryIn(t *testing.T, effects []Effect) Send {
	t.Helper()
	return sendIn(t, slices.DeleteFunc(effects, func(effect Effect) bool {
		sent, ok := effect.(Send)
		return ok && sent.Message.Kind != Query
	}))
}

func decisionIn(t *testing.T, effects []Effect) Decided {
	t.Helper()
	for _, effect := range effects {
		if decided, ok := effect.(Decided); ok {
			return decided
		}
	}
	t.Fatalf("no decision: %v", effects)
	return Decided{}
}

// In any window a stripe must grant at most its capacity plus the tokens added in that window,
// whatever the sequence of requests.
func TestStripeGrantsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, capacity := rapid.Float64Range(0.1, 50).Draw(t, "rate"), rapid.Float64Range(1, 50).Draw(t, "capacity")
		each := newStripe(rate, capacity, startTime)
		type grant struct {
			at     time.Time
			tokens int
		}
		var grants []grant
		now := startTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
			granted, wait := each.take(rapid.IntRange(1, maxQueryTokens).Draw(t, "wanted"), now)
			must.True(t, (granted > 0) != (wait > 0))
			must.LessEq(t, maxReservation+each.fillTime(1), wait)
			grants = append(grants, grant{now, granted})
		}
		for first := range grants {
			sum := 0
			for _, later := range grants[first:] {
				sum += later.tokens
				const rounding = 1e-6
				must.LessEq(t, rate*later.at.Sub(grants[first].at).Seconds()+capacity+rounding, float64(sum))
			}
		}
	})
}

// A stripe must start empty, fill over time, and be cut at once when its limit is lowered.
func TestStripeAppliesChangedLimit(t *testing.T) {
	m, now := newPair(t, 10, 10)
	const whole = 20 // the burst and half of the slack, in two stripes
	must.Eq(t, whole/2, m.drainOwnStripe(now))
	must.Eq(t, 0, m.drainOwnStripe(now))
	must.Eq(t, 5, m.drainOwnStripe(now.Add(time.Second)))

	m, now = newPair(t, 10, 10)
	m.find("press", now)
	lowered := Configured{Tenants: []catalog.Tenant{{Name: "press", RatePerSecond: 10, Burst: 2}}, Hosts: hostsIn(2, 2)}
	m.Step(lowered, now)
	must.Eq(t, 6, m.drainOwnStripe(now))
	m.Step(Configured{Hosts: hostsIn(2, 2)}, now)
	must.Nil(t, m.find("press", now))
	must.Eq(t, Unlimited, decisionIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now)).Result)

	started := New(Config{Settings: exampleSettings, Self: ownAddress, Zone: "z0", PropagationDelay: maxPropagation, Random: rand.NewPCG(1, 2)}, now)
	started.Step(lowered, now)
	must.Eq(t, 0, started.drainOwnStripe(now))
}

// A node that takes over another node's stripe must grant nothing until the change has reached
// that node, which could grant the same tokens until then.
func TestMovedStripeWaitsForPropagation(t *testing.T) {
	m := New(Config{Settings: exampleSettings, Self: ownAddress, Zone: "z0", PropagationDelay: maxPropagation, Random: rand.NewPCG(1, 2)}, startTime)
	tenants := []catalog.Tenant{{Name: "press", RatePerSecond: 10, Burst: 10}}
	m.Step(Configured{Tenants: tenants, Hosts: hostsIn(2, 2)[1:]}, startTime)
	now := startTime.Add(time.Hour)
	must.Nil(t, m.find("press", now).ownStripe)
	m.Step(Configured{Tenants: tenants, Hosts: hostsIn(2, 2)}, now)
	must.Eq(t, 0, m.drainOwnStripe(now.Add(maxPropagation)))
	must.Eq(t, 5, m.drainOwnStripe(now.Add(maxPropagation+time.Second)))
}

// A query that times out must be cancelled. The queried node takes the tokens back exactly
// once, and a late reply must have no effect.
func TestTimedOutQueryIsCancelled(t *testing.T) {
	m, now := newPair(t, 10, 10)
	m.drainOwnStripe(now)
	query := sendIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now))
	must.Eq(t, peerAddress, query.Host)
	must.Eq(t, Message{Kind: Query, ID: query.Message.ID, Tenant: "press", Tokens: 1}, query.Message)
	effects := m.Step(Tick{}, now.Add(sameRegionTimeout))
	must.Eq(t, Fallback, decisionIn(t, effects).Result)
	cancelled := sendIn(t, effects)
	must.Eq(t, Send{Host: peerAddress, Message: Message{Kind: Cancel, ID: query.Message.ID}}, cancelled)
	m.Step(MessageReceived{Message: Message{Kind: Reply, ID: query.Message.ID, Tokens: 1}}, now.Add(sameRegionTimeout))
	must.Eq(t, 0, m.Status().CachedTokens)

	other, now := newPair(t, 10, 10)
	from := netip.MustParseAddrPort(peerAddress + ":1")
	level := func() float64 { return other.find("press", now).ownStripe.level }
	must.Eq(t, 1, sendIn(t, other.Step(MessageReceived{From: from, Message: query.Message}, now)).Message.Tokens)
	granted := level()
	otherSource := netip.MustParseAddrPort("10.0.0.9:1")
	other.Step(MessageReceived{From: otherSource, Message: cancelled.Message}, now)
	must.Eq(t, granted, level(), must.Sprint("only the querying node may cancel"))
	other.Step(MessageReceived{From: from, Message: cancelled.Message}, now)
	must.Eq(t, granted+1, level())
	other.Step(MessageReceived{From: from, Message: cancelled.Message}, now)
	must.Eq(t, granted+1, level())
}

// Unused tokens must be returned to their stripe.
func TestUnusedTokensAreReturned(t *testing.T) {
	m, now := newPair(t, 10, 10)
	m.drainOwnStripe(now)
	query := sendIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now))
	m.Step(MessageReceived{Message: Message{Kind: Reply, ID: query.Message.ID, Tokens: 3}}, now)
	must.Eq(t, 2, m.Status().CachedTokens)
	returned := sendIn(t, m.Step(Tick{}, now.Add(exampleSettings.tokenLife()/2)))
	must.Eq(t, Send{Host: peerAddress, Message: Message{Kind: Return, Tenant: "press", Tokens: 2}}, returned)
	must.Eq(t, 0, m.Status().CachedTokens)
}

// Tokens past their lifetime must not be used: those cached while the process was suspended,
// and those that a request returns too late. Their stripe assumes that they were used.
func TestExpiredTokensAreDiscarded(t *testing.T) {
	m, now := newPair(t, 10, 10)
	life := exampleSettings.tokenLife()
	must.Eq(t, Granted, decisionIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now)).Result)
	m.Step(TokenReturned{Tenant: "press"}, now.Add(life/4))
	must.Eq(t, 1, m.Status().CachedTokens)
	must.Eq(t, Cached, decisionIn(t, m.Step(TokenRequested{ID: 2, Tenant: "press"}, now.Add(life/4))).Result)
	m.Step(TokenReturned{Tenant: "press"}, now.Add(life+time.Millisecond))
	must.Eq(t, 0, m.Status().CachedTokens)

	must.Eq(t, Granted, decisionIn(t, m.Step(TokenRequested{ID: 3, Tenant: "press"}, now)).Result)
	m.Step(TokenReturned{Tenant: "press"}, now)
	level := m.find("press", now).ownStripe.level
	m.Step(Tick{}, now.Add(life+time.Millisecond))
	must.Eq(t, 0, m.Status().CachedTokens)
	must.Less(t, level+1, m.find("press", now).ownStripe.level)
}

// When all stripes have reported that they have no token, requests must be rejected without a
// query until one of them has a token again.
func TestEmptyStripesAreNotQueriedAgain(t *testing.T) {
	m, now := newPair(t, 10, 10)
	m.drainOwnStripe(now)
	query := sendIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now))
	const wait = 150 * time.Millisecond
	decided := decisionIn(t, m.Step(MessageReceived{Message: Message{Kind: Reply, ID: query.Message.ID, Wait: wait}}, now))
	must.Eq(t, Rejected, decided.Result)
	must.Between(t, wait, decided.RetryAfter, 2*wait)
	effects := m.Step(TokenRequested{ID: 2, Tenant: "press"}, now)
	must.Len(t, 1, effects, must.Sprint("no stripe may be queried"))
	must.Eq(t, Rejected, decisionIn(t, effects).Result)
	m.drainOwnStripe(now.Add(wait))
	must.Eq(t, peerAddress, sendIn(t, m.Step(TokenRequested{ID: 3, Tenant: "press"}, now.Add(wait))).Host)
}

// A request that was cancelled must get no token; a token that arrives for it is cached.
func TestTokensOfCancelledRequestAreCached(t *testing.T) {
	m, now := newPair(t, 10, 10)
	m.drainOwnStripe(now)
	query := sendIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now))
	m.Step(Cancelled{ID: 1, Tenant: "press"}, now)
	effects := m.Step(MessageReceived{Message: Message{Kind: Reply, ID: query.Message.ID, Tokens: 1}}, now)
	must.Len(t, 0, effects)
	must.Eq(t, 1, m.Status().CachedTokens)
}

// While the node of a stripe is down, in a flood only one request may wait for it each time its
// unresponsive period ends; the others must be rejected at once by the reports of the other
// stripes.
//
// While machines were replaced, callers of a tenant that sent three times its limit got a 429
// only after 80 ms, twice the timeout of an unresponsive node.
func TestFloodDoesNotWaitForUnresponsiveNode(t *testing.T) {
	m := New(Config{Settings: exampleSettings, Self: ownAddress, Zone: "z0", PropagationDelay: maxPropagation, Random: rand.NewPCG(1, 2)}, startTime)
	m.Step(Configured{Tenants: []catalog.Tenant{{Name: "press", RatePerSecond: 10, Burst: 10}}, Hosts: hostsIn(3, 3)}, startTime)
	now := startTime.Add(time.Hour)
	m.drainOwnStripe(now)
	const wait = 150 * time.Millisecond
	first := sendIn(t, m.Step(TokenRequested{ID: 1, Tenant: "press"}, now))
	second := queryIn(t, m.Step(Tick{}, now.Add(sameRegionTimeout)))
	must.NotEq(t, first.Host, second.Host)
	now = now.Add(sameRegionTimeout)
	must.Eq(t, Rejected, decisionIn(t, m.Step(MessageReceived{Message: Message{Kind: Reply, ID: second.Message.ID, Wait: wait}}, now)).Result)
	must.Eq(t, Rejected, decisionIn(t, m.Step(TokenRequested{ID: 2, Tenant: "press"}, now)).Result, must.Sprint("must be rejected at once"))
	now = now.Add(unresponsiveFor)
	m.drainOwnStripe(now)
	query := []string{sendIn(t, m.Step(TokenRequested{ID: 3, Tenant: "press"}, now)).Host}
	query = append(query, queryIn(t, m.Step(Tick{}, now.Add(sameRegionTimeout))).Host)
	must.SliceContains(t, query, first.Host, must.Sprint("an unresponsive node must be queried again after a while"))
}

// The fallback shares of all nodes must add up to the tokens for all of them, and a node that
// is not in the catalog must have none.
func TestFallbackSharesAddUp(t *testing.T) {
	const nodes, zones = 73, 4
	for _, rate := range []float64{2, 251, 10_000} {
		sum := 0
		for _, each := range append(hostsIn(zones, nodes), Host{Address: "10.9.9.9"}) {
			m := New(Config{Settings: exampleSettings, Self: each.Address, PropagationDelay: maxPropagation, Random: rand.NewPCG(1, 2)}, startTime)
			m.Step(Configured{Tenants: []catalog.Tenant{{Name: "press", RatePerSecond: rate, Burst: rate}}, Hosts: hostsIn(zones, nodes)}, startTime)
			sum += m.find("press", startTime).fallbackShare
		}
		must.Eq(t, exampleSettings.fallbackTokens(rate, rate), sum)
	}
}

// A node must spend its fallback share at most once in any window.
func TestFallbackShareIsSpentOncePerWindow(t *testing.T) {
	m, now := newPair(t, 10, 10)
	tenant := m.find("press", now)
	spent := 0
	for range 10 * tenant.fallbackShare {
		if m.spendFallback(tenant, now) {
			spent++
		}
	}
	must.Eq(t, tenant.fallbackShare, spent)
	must.False(t, m.spendFallback(tenant, now.Add(exampleSettings.Window-1)))
	must.True(t, m.spendFallback(tenant, now.Add(exampleSettings.Window)))
}

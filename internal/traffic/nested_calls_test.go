package traffic

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/quarantine"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// A worker that rejects half with free slots is no failing endpoint: nodes backed off from
// each such worker for up to ten seconds, and went to other regions for the next.
func TestRejectingWorkerIsNotBlamed(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) { route.MaxAttempts = 1 })
	for range 4 {
		m.script("shed")
		response, _, err := m.call("POST", "/order/", "cards")
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, "0.020", response.Header.Get("Retry-After")) // free slots: at once
		response, _, err = m.call("POST", "/order/", "cards")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
}

// A worker that says that it is another instance is blamed as before.
func TestMisdirectedAnswerIsNoRejection(t *testing.T) {
	misdirected := &result{cause: causeRefused, arrived: true}
	seen := balance.Observation{Loaded: true, Load: balance.Load{Busy: 0, Slots: 2}}
	must.True(t, blamesNode(misdirected, seen))
	must.False(t, blamesNode(&result{cause: causeRefused, arrived: true, rejected: true}, seen))
}

// A run whose calls have failed is not repeated by the mesh: its calls would be made again
// where they are turned away. One that failed by itself is.
func TestRunWhoseCallsFailedIsNotRepeated(t *testing.T) {
	for _, callFails := range []bool{false, true} {
		m := newCatalogMesh(t, 2)
		m.script("wait-error")
		answered := make(chan int, 1)
		go func() {
			response, _, err := m.call("GET", "/lookup/", "")
			must.NoError(t, err)
			answered <- response.StatusCode
		}()
		waitFor(t, func() bool { return m.runs() == 1 })
		if callFails {
			for _, node := range m.nodes {
				node.in.nested.ended(http.StatusServiceUnavailable, time.Now())
			}
		}
		for _, node := range m.nodes {
			close(node.worker.gate)
		}
		if callFails {
			must.Eq(t, http.StatusInternalServerError, <-answered)
			must.Eq(t, 1, m.runs())
		} else {
			<-answered
			must.Eq(t, 2, m.runs())
		}
	}
}

// A request that was turned away is known when a copy of it comes, under another id.
func TestCopyOfATurnedAwayRequestIsALastChance(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) { route.MaxAttempts = 1 })
	out := m.nodes[0].out
	must.False(t, out.turned.any(time.Now()))
	m.script("shed")
	_, _, err := m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.True(t, out.lastChance(asked("cards", 0)))
	must.False(t, out.lastChance(asked("letters", 0)))
}

// What was turned away is forgotten, and bounded.
func TestTurnedAwayIsForgotten(t *testing.T) {
	turned, now := newTurnedAway(), time.Unix(1_000_000, 0)
	for index := range 3 * mostTurnedAway {
		turned.note(quarantine.Fingerprint{byte(index), byte(index >> 8)}, turn{callsFailed: true}, now)
	}
	must.Eq(t, mostTurnedAway, len(turned.recent))
	how, found := turned.find(quarantine.Fingerprint{}, now.Add(turnedAwayFor))
	must.True(t, found && how.callsFailed)
	_, found = turned.find(quarantine.Fingerprint{}, now.Add(2*turnedAwayFor))
	must.False(t, found)
	must.False(t, turned.any(now.Add(4*turnedAwayFor)))
}

// A node's word that only runs call a route counts for a while.
func TestInternalRoutesAreLearntFromAnswers(t *testing.T) {
	nested, now := newNestedCalls(), time.Unix(1_000_000, 0)
	nested.learn("price", false, now)
	must.False(t, nested.internal("price", now))
	nested.learn("price", true, now)
	must.True(t, nested.internal("price", now))
	must.False(t, nested.internal("price", now.Add(internalFor)))
}

// asked is a request with the given body, and with the time that its caller gives it.
func asked(body string, given time.Duration) *exchange {
	x := &exchange{request: httptest.NewRequest("POST", "/order/", nil), started: time.Now(), given: given, route: &snapshot.Route{}}
	x.request.Host = "shop.example"
	x.body.whole = []byte(body)
	return x
}

// A caller that comes back is told from a new one, also where many come back, and whatever
// time it gives: callers of one route give from 0.85 of the deadline to all of it, or tell
// none, and a first request with little time passed for one that came back.
func TestReturnsAreKnown(t *testing.T) {
	out := newCatalogMesh(t, 1).nodes[0].out
	out.turned.turned = time.Now().Add(time.Hour) // nothing is forgotten meanwhile
	random := rand.New(rand.NewPCG(1, 2))
	for index := range 400 {
		given := time.Duration(random.IntN(300)) * time.Millisecond // 0: not told
		first := asked(fmt.Sprint("cards ", index), given)
		must.False(t, out.lastChance(first))
		must.False(t, first.class.returned)
		if random.IntN(10) >= 4 {
			continue
		}
		out.noteEnd(first, "shop", &result{status: http.StatusServiceUnavailable})
		again := asked(fmt.Sprint("cards ", index), max(0, given-time.Duration(random.IntN(100))*time.Millisecond))
		must.True(t, out.lastChance(again))
		must.True(t, again.class.returned)
		must.False(t, again.class.unlikely)
	}
}

// A request whose run failed after calls that it needs had is known as such when it comes back.
func TestRunsThatFailedAreKnown(t *testing.T) {
	out := newCatalogMesh(t, 1).nodes[0].out
	failed := asked("cards", time.Second)
	failed.callFailed = true
	out.noteEnd(failed, "shop", &result{status: http.StatusInternalServerError})
	again := asked("cards", time.Second)
	must.True(t, out.lastChance(again))
	must.True(t, again.class.unlikely)
}

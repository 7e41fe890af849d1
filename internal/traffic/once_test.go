package traffic

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/claim"
	"sliphead/internal/outcome"
)

// memoryClaims is a claimer that forgets nothing.
type memoryClaims struct {
	mutex sync.Mutex
	held  map[string]*heldClaim
}

type heldClaim struct {
	body     string
	finished bool
	answer   []byte
}

func newMemoryClaims() *memoryClaims { return &memoryClaims{held: map[string]*heldClaim{}} }

func (m *memoryClaims) Claim(_ context.Context, service, key, body string) claim.Decision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := m.held[service+key]
	switch {
	case held == nil:
		m.held[service+key] = &heldClaim{body: body}
		return claim.Decision{Verdict: claim.VerdictRun, Holder: "holder"}
	case held.body != body:
		return claim.Decision{Verdict: claim.VerdictMismatch}
	case !held.finished:
		return claim.Decision{Verdict: claim.VerdictBusy}
	case held.answer == nil:
		return claim.Decision{Verdict: claim.VerdictRan}
	default:
		return claim.Decision{Verdict: claim.VerdictAnswered, Answer: held.answer}
	}
}

func (m *memoryClaims) Finish(service, key, _ string, answer []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held[service+key].finished = true
	m.held[service+key].answer = answer
}

func (m *memoryClaims) Release(service, key, _ string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.held, service+key)
}

// newFaultyMesh is a mesh before a worker that misbehaves as it is asked to.
func newFaultyMesh(t testing.TB, change func(*Config)) (*mesh, *rawWorker) {
	worker := newRawWorker(t)
	m := newMesh(t, nil, func(config *Config) {
		config.WorkerAddress = worker.listener.Addr().String()
		config.Claims = newMemoryClaims()
		if change != nil {
			change(config)
		}
	})
	return m, worker
}

// checkEnding holds what must hold of any request, whatever the worker did.
func checkEnding(t *testing.T, name string, repeatable bool, runs int, response *http.Response, text string, err error) {
	t.Helper()
	if !repeatable {
		must.LessEq(t, 1, runs, must.Sprintf("%s ran %d times", name, runs))
	}
	if response == nil || err != nil {
		return // the caller saw a broken connection
	}
	switch outcome.Outcome(response.Header.Get(outcome.Header)) {
	case outcome.Answered:
		must.Eq(t, own(name), text, must.Sprint(name))
		must.Positive(t, runs, must.Sprint(name))
	case outcome.NotRun:
		must.Zero(t, runs, must.Sprintf("%s was told as not run", name))
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.NotEq(t, "", response.Header.Get(outcome.Remedy))
	case outcome.Unknown:
		must.GreaterEq(t, http.StatusConflict, response.StatusCode)
		must.NotEq(t, "", response.Header.Get(outcome.Remedy))
	default:
		t.Fatalf("%s has no outcome", name)
	}
}

// Whatever the worker does, an order runs at most once, not run means not in
// the worker's journal, and an answer is the request's own and whole.
func TestFaultyWorker(t *testing.T) {
	for name, connections := range map[string]int{"pool": 130, "transport": 1} {
		t.Run(name, func(t *testing.T) { testFaultyWorker(t, connections) })
	}
}

// testFaultyWorker uses one connection to the worker to have all requests go by
// the transport.
func testFaultyWorker(t *testing.T, connections int) {
	m, worker := newFaultyMesh(t, nil)
	m.setCapacity(6, connections)
	behaviours := []string{"ok", "close", "close-shed", "reset", "half", "half-long", "half-chunked", "unframed", "foreign", "lie", "shed", "hang"}
	for _, route := range []string{"lookup", "order"} {
		for _, method := range []string{"GET", "POST", "POST-empty", "POST-key", "POST-long"} {
			for _, behaviour := range behaviours {
				t.Run(route+"/"+method+"/"+behaviour, func(t *testing.T) {
					// The connections are in use already: only on such does net/http send again by itself.
					warm := fmt.Sprintf("warm-%s-%s-%s", route, method, behaviour)
					_, text, err := m.call(t, "GET", "/lookup?n="+warm, "")
					must.NoError(t, err)
					must.Eq(t, own(warm), text)

					path := route
					if behaviour == "hang" {
						path = "quick-" + route
					}
					name := fmt.Sprintf("%s-%s-%s", route, method, behaviour)
					verb, _, _ := strings.Cut(method, "-")
					var headers []string
					if method == "POST-key" || method == "POST-empty" {
						headers = []string{outcome.IdempotencyKey, name}
					}
					body := "order of cards"
					if method == "POST-long" { // by the transport on both hops
						body = strings.Repeat("cards", directBody)
					}
					if method == "GET" || method == "POST-empty" {
						body = ""
					}
					response, text, err := m.call(t, verb, "/"+path+"?n="+name+"&do="+behaviour, body, headers...)
					// The refusal that a worker copies from a service that it called says
					// nothing about the worker itself: it is an answer.
					told := response != nil && response.Header.Get(outcome.Header) == "answered"
					must.True(t, told || behaviour != "ok" && behaviour != "lie")
					checkEnding(t, name, route == "lookup", worker.runs(name), response, text, err)
				})
			}
		}
	}
}

// An answer that had come on the connection before the request was sent is
// left over from another.
func TestAnswerFromBeforeTheRequestIsForeign(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &sealedConn{Conn: near}
	watch := newSending()
	watch.gotConn(httptrace.GotConnInfo{Conn: conn})
	must.True(t, watch.stale())
	go func() { _, _ = far.Write([]byte("H")) }()
	_, err := conn.Read(make([]byte, 1))
	must.NoError(t, err)
	must.False(t, watch.stale())
}

func TestAnswerWithoutEchoIsForeignWhereWorkersEcho(t *testing.T) {
	m, _ := newFaultyMesh(t, func(config *Config) { config.WorkerEchoes = true })
	response, text, err := m.call(t, "POST", "/order?n=a", "")
	must.NoError(t, err)
	must.Eq(t, "unknown", response.Header.Get(outcome.Header))
	must.StrNotContains(t, text, own("a"))
}

// order sends an order under a key.
func (m *mesh) order(t *testing.T, path, body string) (*http.Response, string) {
	response, text, err := m.call(t, "POST", path, body, outcome.IdempotencyKey, "order-17")
	must.NoError(t, err)
	return response, text
}

func TestKeyRunsOnce(t *testing.T) {
	m, worker := newFaultyMesh(t, nil)
	response, _ := m.order(t, "/order?n=a&do=shed", "cards")
	must.Eq(t, "not-run", response.Header.Get(outcome.Header)) // the key is released
	for _, replayed := range []string{"", "1"} {
		response, text := m.order(t, "/order?n=a", "cards")
		must.Eq(t, own("a"), text)
		must.Eq(t, "answered", response.Header.Get(outcome.Header))
		must.Eq(t, replayed, response.Header.Get(replayedHeader))
	}
	must.Eq(t, 1, worker.runs("a"))
	response, _ = m.order(t, "/order?n=a", "other cards")
	must.Eq(t, http.StatusUnprocessableEntity, response.StatusCode)
}

func TestKeyOfABrokenRunIsNotRunAgain(t *testing.T) {
	m, worker := newFaultyMesh(t, nil)
	for range 2 {
		response, _ := m.order(t, "/order?n=a&do=close", "")
		must.Eq(t, "unknown", response.Header.Get(outcome.Header))
	}
	must.Eq(t, 1, worker.runs("a"))
}

func TestKeyWithoutClaimsIsRefused(t *testing.T) {
	m, worker := newFaultyMesh(t, func(config *Config) { config.Claims = nil })
	response, _ := m.order(t, "/order?n=a", "")
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.Zero(t, worker.runs("a"))
}

// What the watcher of the worker is told: whole answers, and what is missing
// by the worker's doing.
func TestObservedOfTheWorker(t *testing.T) {
	for behaviour, told := range map[string]string{
		"ok": "+", "lie": "+", "close": "-", "half": "-", "half-long": "-", "foreign": "-", "unframed": "-",
		"shed": "", "hang": "",
	} {
		t.Run(behaviour, func(t *testing.T) {
			var mutex sync.Mutex
			observed := ""
			m, _ := newFaultyMesh(t, func(config *Config) {
				config.Observe = func(succeeded bool) {
					mutex.Lock()
					defer mutex.Unlock()
					observed += map[bool]string{true: "+", false: "-"}[succeeded]
				}
			})
			path := "/order"
			if behaviour == "hang" {
				path = "/quick-order"
			}
			_, _, _ = m.call(t, "POST", path+"?n=a&do="+behaviour, "")
			waitFor(t, func() bool { return m.in.InFlight() == 0 })
			mutex.Lock()
			defer mutex.Unlock()
			must.Eq(t, told, observed)
		})
	}
	// No worker there at all.
	observed := make(chan bool, 8)
	m, worker := newFaultyMesh(t, func(config *Config) { config.Observe = func(succeeded bool) { observed <- succeeded } })
	_ = worker.listener.Close()
	response, _, err := m.call(t, "POST", "/order?n=a", "")
	must.NoError(t, err)
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.False(t, <-observed)
}

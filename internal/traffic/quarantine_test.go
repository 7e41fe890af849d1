package traffic

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/quarantine"
)

// oneVerdict is a quarantine that knows one verdict, on requests to one path, and notes
// what it is told. All nodes of a test share it.
type oneVerdict struct {
	head quarantine.Head

	mutex    sync.Mutex
	verdict  quarantine.Verdict
	trials   []string // instances that began one
	crashes  []string // instances that crashed
	answered []string // instances that answered
}

func newOneVerdict(target string, state quarantine.State) *oneVerdict {
	asked := quarantine.Request{Method: http.MethodGet, Host: "shop.example", Target: target}
	return &oneVerdict{head: asked.Head(), verdict: quarantine.Verdict{State: state}}
}

func (o *oneVerdict) Empty() bool                     { return false }
func (o *oneVerdict) Knows(head quarantine.Head) bool { return head == o.head }

func (o *oneVerdict) Verdict(quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.verdict, 42 * time.Second
}

func (o *oneVerdict) WorkerCrashed(_ context.Context, instance string, _ []quarantine.Fingerprint) quarantine.Verdict {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.crashes = append(o.crashes, instance)
	return quarantine.Verdict{State: quarantine.Suspected, Workers: o.crashes}
}

func (o *oneVerdict) Answered(_ context.Context, _ quarantine.Fingerprint, instance string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered = append(o.answered, instance)
}

func (o *oneVerdict) BeginTrial(_ context.Context, _ quarantine.Fingerprint, instance string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.trials = append(o.trials, instance)
	o.verdict.State = quarantine.Held
	return len(o.trials) == 1
}

// use gives a quarantine to the nodes' handlers of callers, of workers, or of both.
func (m *catalogMesh) use(callers, workers Quarantine) {
	for _, node := range m.nodes {
		node.out.config.Quarantine = callers
		node.in.config.Quarantine = workers
	}
}

// A held request is refused as not run, with the wait until its trial: by its caller's
// node, and by the worker's node where the caller's has not heard. Others are served.
func TestHeldRequestIsRefused(t *testing.T) {
	for name, callersKnow := range map[string]bool{"caller's node": true, "worker's node": false} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 3)
			held := newOneVerdict("/lookup/held", quarantine.Held)
			m.use(nil, held)
			if callersKnow {
				m.use(held, held)
			}
			response, text, err := m.call(http.MethodGet, "/lookup/held", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			must.StrContains(t, text, "not-run")
			if callersKnow {
				must.Eq(t, "42.000", response.Header.Get("Retry-After"))
			}
			must.Eq(t, 0, m.runs())
			response, _, err = m.call(http.MethodGet, "/lookup/other", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
		})
	}
}

// A request on trial runs once, at the owner of its trials, and its answer is told.
func TestTrialRunsAtItsOwner(t *testing.T) {
	m := newCatalogMesh(t, 4)
	onTrial := newOneVerdict("/lookup/tried", quarantine.OnTrial)
	m.use(onTrial, onTrial)
	asked := quarantine.Request{Method: http.MethodGet, Host: "shop.example", Target: "/lookup/tried"}
	owner := quarantine.Owner(asked.Fingerprint(), []string{"i-0", "i-1", "i-2", "i-3"})
	response, text, err := m.call(http.MethodGet, "/lookup/tried", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(text))
	must.Eq(t, []string{owner}, onTrial.trials)
	must.Eq(t, []string{owner}, onTrial.answered)
	response, _, err = m.call(http.MethodGet, "/lookup/tried", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, 1, m.runs())
}

// A worker that breaks a run off and takes connections has not crashed; one that refuses
// them has.
func TestCrashIsToldFromABrokenRun(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.onlyFirstWorker(0)
	known := newOneVerdict("/lookup/poison", quarantine.Suspected)
	m.use(known, known)
	first := m.nodes[0].worker
	m.script("close")
	_, _, err := m.call(http.MethodGet, "/lookup/1", "")
	must.NoError(t, err)
	must.SliceEmpty(t, known.crashes)

	m.script()
	response, _, err := m.call(http.MethodGet, "/lookup/2", "") // leaves a connection open
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	_ = first.listener.Close()
	m.script("close")
	response, _, err = m.call(http.MethodGet, "/lookup/poison", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, []string{"i-0"}, known.crashes)
}

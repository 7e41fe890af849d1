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

// fakeQuarantine is a quarantine with one verdict, on requests to one path, that records the reports
// it receives. All nodes of a test share it.
type fakeQuarantine struct {
	head quarantine.Head

	mutex    sync.Mutex
	verdict  quarantine.Verdict
	trials   []string // instances that began a trial
	crashes  []string // instances that crashed
	answered []string // instances that responded
}

func newFakeQuarantine(target string, state quarantine.State) *fakeQuarantine {
	request := quarantine.Request{Method: http.MethodGet, Host: "shop.example", Target: target}
	return &fakeQuarantine{head: request.Head(), verdict: quarantine.Verdict{State: state}}
}

func (o *fakeQuarantine) Empty() bool                       { return false }
func (o *fakeQuarantine) HasHead(head quarantine.Head) bool { return head == o.head }

func (o *fakeQuarantine) Verdict(quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.verdict, 42 * time.Second
}

func (o *fakeQuarantine) WorkerCrashed(_ context.Context, instance string, _ []quarantine.Fingerprint) quarantine.Verdict {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.crashes = append(o.crashes, instance)
	return quarantine.Verdict{State: quarantine.Suspected, Workers: o.crashes}
}

func (o *fakeQuarantine) Answered(_ context.Context, _ quarantine.Fingerprint, instance string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered = append(o.answered, instance)
}

func (o *fakeQuarantine) BeginTrial(_ context.Context, _ quarantine.Fingerprint, instance string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.trials = append(o.trials, instance)
	o.verdict.State = quarantine.Held
	return len(o.trials) == 1
}

// setQuarantines sets the quarantines of all nodes' outbound (callers) and inbound (workers)
// handlers.
func (m *catalogMesh) setQuarantines(callers, workers Quarantine) {
	for _, node := range m.nodes {
		node.out.config.Quarantine = callers
		node.in.config.Quarantine = workers
	}
}

// A held request must be refused with outcome not-run by its caller's node, with the time until its
// trial as Retry-After, and by the worker's node if the caller's node has not received the verdict.
// Other requests are served.
func TestHeldRequestIsRefused(t *testing.T) {
	for name, callersInformed := range map[string]bool{"caller's node": true, "worker's node": false} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 3)
			held := newFakeQuarantine("/lookup/held", quarantine.Held)
			m.setQuarantines(nil, held)
			if callersInformed {
				m.setQuarantines(held, held)
			}
			response, text, err := m.call(http.MethodGet, "/lookup/held", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			must.StrContains(t, text, "not-run")
			if callersInformed {
				must.Eq(t, "42.000", response.Header.Get("Retry-After"))
			}
			must.Eq(t, 0, m.runs())
			response, _, err = m.call(http.MethodGet, "/lookup/other", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
		})
	}
}

// A request on trial must run once, at the owner of its trials, and its response is reported.
func TestTrialRunsAtItsOwner(t *testing.T) {
	m := newCatalogMesh(t, 4)
	onTrial := newFakeQuarantine("/lookup/tried", quarantine.OnTrial)
	m.setQuarantines(onTrial, onTrial)
	request := quarantine.Request{Method: http.MethodGet, Host: "shop.example", Target: "/lookup/tried"}
	owner := quarantine.Owner(request.Fingerprint(), []string{"i-0", "i-1", "i-2", "i-3"})
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

// A worker that closes a connection during a run but accepts new ones has not crashed; one that
// refuses new connections has.
func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.onlyFirstWorker(0)
	tracked := newFakeQuarantine("/lookup/poison", quarantine.Suspected)
	m.setQuarantines(tracked, tracked)
	first := m.nodes[0].worker
	m.script("close")
	_, _, err := m.call(http.MethodGet, "/lookup/1", "")
	must.NoError(t, err)
	must.SliceEmpty(t, tracked.crashes)

	m.script()
	response, _, err := m.call(http.MethodGet, "/lookup/2", "") // leaves a connection open
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	_ = first.listener.Close()
	m.script("close")
	response, _, err = m.call(http.MethodGet, "/lookup/poison", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, []string{"i-0"}, tracked.crashes)
}

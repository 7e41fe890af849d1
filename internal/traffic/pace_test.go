package traffic

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/admission"
	"sliphead/internal/traffic/balance"
)

// pendingUpload returns an exchange whose body of 60 kB has not been requested yet.
func pendingUpload(objective time.Duration) *exchange {
	const length = 60_000
	request := httptest.NewRequest("POST", "/order/", strings.NewReader(strings.Repeat("x", length)))
	uploadClass := class{rank: 1, objective: objective}
	return &exchange{request: request, instance: "i-0", bodyAwaited: true, class: uploadClass, route: routeOf("order", uploadClass)}
}

// On a slow link, bodies are transferred one after the other. Those that would arrive too late are
// refused immediately, and the reported load includes the wait for the link. Fault: twelve
// bodies sent at the same time delayed the calls to the same worker beyond their objective.
func TestBodiesArePacedByLinkRate(t *testing.T) {
	now := time.Now()
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16, LinkMbps: 10})
	var waits []time.Duration
	for range 12 {
		wait, refused := a.reserveBody(pendingUpload(time.Second), 60_000, now)
		if refused != nil {
			must.Eq(t, causeQueue, refused.cause)
			break
		}
		waits = append(waits, wait)
	}
	must.Between(t, 4, len(waits), 8) // a quarter of a second at 18 bodies per second, plus the initial burst
	must.Zero(t, waits[0])
	must.Less(t, 300*time.Millisecond, waits[len(waits)-1])
	must.Positive(t, a.load(pendingUpload(time.Second)).Link)
}

// The link time reserved for a body that is never requested must be released.
func TestUnrequestedBodyReleasesLinkTime(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16, LinkMbps: 10})
	for range 100 {
		wait, refused := a.reserveBody(pendingUpload(time.Second), 60_000, now)
		must.Nil(t, refused)
		must.Zero(t, wait)
		a.releaseBody(60_000)
	}
}

// Traffic on the link without a reservation, such as the store's responses and callers' bodies,
// must delay reserved bodies.
func TestBodiesWaitForUnreservedTraffic(t *testing.T) {
	m := newCatalogMesh(t, 1)
	node := m.nodes[0]
	node.in.admitter.link = admission.NewLink(1)
	node.in.RecordReceived(1_000_000)
	wait, refused := node.in.admitter.reserveBody(pendingUpload(time.Hour), 60_000, time.Now())
	must.Nil(t, refused)
	must.Greater(t, 5*time.Second, wait)
	before := node.in.admitter.link
	response, _, err := m.call("POST", "/order/", strings.Repeat("x", 100_000))
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.NotEq(t, before, node.in.admitter.link)
}

// Without a configured link rate no body waits.
func TestUnknownLinkRateDisablesPacing(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16})
	for range 1000 {
		wait, refused := a.reserveBody(pendingUpload(time.Millisecond), 60_000, time.Unix(1000, 0))
		must.Nil(t, refused)
		must.Zero(t, wait)
	}
}

// On the whole path, uploads that wait for the link must complete.
func TestPacedUploadRuns(t *testing.T) {
	m := newCatalogMesh(t, 2)
	for _, node := range m.nodes {
		node.in.admitter.link = admission.NewLink(40)
	}
	view, _ := m.nodes[0].holder.Current(time.Now())
	for _, route := range view.Routes {
		route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
	}
	statuses := make(chan int)
	for range 4 {
		go func() {
			response, _, err := m.call("POST", "/order/", strings.Repeat("x", 200_000))
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for range 4 {
		must.Eq(t, 200, <-statuses)
	}
	must.Eq(t, 4, m.nodes[1].worker.runs())
	must.NotEq(t, admission.NewLink(40), m.nodes[1].in.admitter.link)
}

// A request that is refused after its wait for the link, but before its body was requested, must
// release the reserved link time.
func TestRefusalAfterLinkWaitReleasesLinkTime(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	in.admitter.link = admission.NewLink(10)
	refusing := in.paceBody(func(*exchange) result { return refuse(causeNotLocal, 0, "send it to another node") })
	for range 100 {
		x := pendingUpload(time.Second)
		x.context = t.Context()
		must.Eq(t, causeNotLocal, refusing(x).cause)
	}
	must.Zero(t, in.admitter.link.Wait(time.Now()))
}

// Retry-After of a refusal must cover the expected waits for both the slot and the link.
func TestRetryAfterIncludesLinkWait(t *testing.T) {
	reply := hopReply{outcome: outcome.NotRun, load: balance.Load{Wait: time.Second, Link: 2 * time.Second}}
	must.Eq(t, 3*time.Second, reply.refusal(&http.Response{}).retryAfter)
}

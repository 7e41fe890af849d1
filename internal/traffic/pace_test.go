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

// uploadTo is an exchange whose body of 60 kB is still to be asked for.
func uploadTo(objective time.Duration) *exchange {
	const length = 60_000
	request := httptest.NewRequest("POST", "/order/", strings.NewReader(strings.Repeat("x", length)))
	told := class{rank: 1, objective: objective}
	return &exchange{request: request, instance: "i-0", bodyAwaited: true, class: told, route: routeOf("order", told)}
}

// On a narrow link bodies come one behind the other; those that would come too late
// are refused at once, and callers are told how long a body waits. Twelve bodies that
// came at once held up the calls to the same worker for more than they may take.
func TestBodiesArePacedByTheLink(t *testing.T) {
	now := time.Now()
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16, LinkMbps: 10})
	var waits []time.Duration
	for range 12 {
		wait, refused := a.bookBody(uploadTo(time.Second), 60_000, now)
		if refused != nil {
			must.Eq(t, causeQueue, refused.cause)
			break
		}
		waits = append(waits, wait)
	}
	must.Between(t, 4, len(waits), 8) // a quarter of a second at 18 bodies a second, and some ahead
	must.Zero(t, waits[0])
	must.Less(t, 300*time.Millisecond, waits[len(waits)-1])
	must.Positive(t, a.load(uploadTo(time.Second)).Link)
}

// A body that was not asked for leaves its time on the link to others.
func TestBodyThatIsNotAskedForGivesItsTimeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16, LinkMbps: 10})
	for range 100 {
		wait, refused := a.bookBody(uploadTo(time.Second), 60_000, now)
		must.Nil(t, refused)
		must.Zero(t, wait)
		a.returnBody(60_000)
	}
}

// What comes by the link unbooked, the store's answers and callers' bodies, delays the
// bodies that are booked.
func TestBodiesWaitForWhatElseHasCome(t *testing.T) {
	m := newCatalogMesh(t, 1)
	node := m.nodes[0]
	node.in.admitter.link = admission.NewLink(1)
	node.in.Received(1_000_000)
	wait, refused := node.in.admitter.bookBody(uploadTo(time.Hour), 60_000, time.Now())
	must.Nil(t, refused)
	must.Greater(t, 5*time.Second, wait)
	before := node.in.admitter.link
	response, _, err := m.call("POST", "/order/", strings.Repeat("x", 100_000))
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.NotEq(t, before, node.in.admitter.link)
}

// Where nobody says what the link carries, nothing waits.
func TestUnknownLinkPacesNothing(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 12, QueueLength: 16})
	for range 1000 {
		wait, refused := a.bookBody(uploadTo(time.Millisecond), 60_000, time.Unix(1000, 0))
		must.Nil(t, refused)
		must.Zero(t, wait)
	}
}

// Through the whole path: the second of two bodies waits, and runs.
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

// A request that is refused behind the link, before its body was asked for, gives the
// body's time back.
func TestRefusalBehindTheLinkGivesItsTimeBack(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	in.admitter.link = admission.NewLink(10)
	refusing := in.pace(func(*exchange) result { return refuse(causeNotLocal, 0, "send it elsewhere") })
	for range 100 {
		x := uploadTo(time.Second)
		x.context = t.Context()
		must.Eq(t, causeNotLocal, refusing(x).cause)
	}
	must.Zero(t, in.admitter.link.Wait(time.Now()))
}

// A caller is told to come back when the slot and the link are expected to be free.
func TestRefusalTellsTheWaitForTheLink(t *testing.T) {
	told := hopAnswer{outcome: outcome.NotRun, load: balance.Load{Wait: time.Second, Link: 2 * time.Second}}
	must.Eq(t, 3*time.Second, told.refusal(&http.Response{}).retryAfter)
}

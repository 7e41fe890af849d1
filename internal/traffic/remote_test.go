package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// remoteNode simulates a node at a distance: opening a connection to it takes one round trip,
// and so does its acknowledgement.
type remoteNode struct {
	roundTrip time.Duration
	offers    int
}

func (n *remoteNode) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	timer := time.NewTimer(n.roundTrip)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	near, far := net.Pipe()
	go n.serve(far)
	return near, nil
}

// serve responds to one request after the other until the caller's node closes the connection.
func (n *remoteNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n.offers++
		time.Sleep(n.roundTrip)
		attempt, _, _ := strings.Cut(request.Header.Get(hopHeader), hopSeparator)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n%s: %s;a;\r\nContent-Length: 4\r\n\r\ndone", hopHeader, attempt)
		if err != nil {
			return
		}
	}
}

// remoteEndpoint is the worker of a remote node.
var remoteEndpoint = snapshot.Endpoint{Worker: "i-far", Zone: "z9", Region: "r2", Address: "far:1", Slots: 6}

// newRemoteOutbound returns the handler of a node that dials only a remote node.
func newRemoteOutbound(node *remoteNode) *Outbound {
	return NewOutbound(Config{Zone: "z1", Region: "r1", Dial: node.dial, Protocol: testProtocol, Logger: discardLogger(), Holder: &snapshot.Holder{}})
}

// remoteExchange returns a request without a body whose deadline is in the given time.
func remoteExchange(t *testing.T, out *Outbound, left time.Duration) *exchange {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://shop.example/lookup/1", http.NoBody)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), left)
	t.Cleanup(cancel)
	return &exchange{
		writer: httptest.NewRecorder(), request: request.WithContext(ctx), context: ctx, started: time.Now(), deadline: time.Now().Add(left),
		concurrentBody: true, smallResponse: 100, protocol: &out.config.Protocol,
		route: &snapshot.Route{Route: declaration.Route{Name: "lookup", Repeatable: true}, MaxAttempts: 2},
	}
}

// offerTo offers a request with the given time left to a node of another region.
func (n *remoteNode) offerTo(t *testing.T, out *Outbound, left time.Duration) *result {
	t.Helper()
	x := remoteExchange(t, out, left)
	x.roundTrip, x.roundTripMeasured = out.chooser.roundTrip(remoteEndpoint)
	got, observed, failure := out.offer(x, remoteEndpoint)
	out.chooser.record(x, remoteEndpoint, observed)
	if got != nil {
		_, _ = io.Copy(io.Discard, got.response.Body)
		_ = got.response.Body.Close()
	}
	return failure
}

// An offer to a node whose round trip exceeds the acknowledgement timeout of near nodes must
// not time out: neither the first offer, before any measurement and including the opening of a
// connection, nor those after it. The first offer measures the distance.
func TestRemoteNodeIsNotTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &remoteNode{roundTrip: minAckTimeout + 70*time.Millisecond}
		out := newRemoteOutbound(node)
		for range 3 {
			must.Nil(t, node.offerTo(t, out, 450*time.Millisecond))
		}
		took, measured := out.chooser.roundTrip(remoteEndpoint)
		must.Eq(t, node.roundTrip, took)
		must.True(t, measured)
		out.pool.close()
	})
}

// A repeatable request is not hedged while the acknowledgement of a remote node is on its way:
// one offer, one response.
func TestRemoteNodeIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &remoteNode{roundTrip: minAckTimeout + 70*time.Millisecond}
		out := newRemoteOutbound(node)
		x := remoteExchange(t, out, 450*time.Millisecond)
		d := &dispatch{out: out, x: x, finished: make(chan *pendingAttempt, maxOffers)}
		defer d.close()
		ended, done := d.try(snapshot.Target{Service: "shop"}, remoteEndpoint, false)
		must.True(t, done)
		must.Eq(t, outcome.Answered, ended.outcome)
		must.Eq(t, 1, node.offers)
		must.SliceEmpty(t, d.pending)
		out.pool.close()
	})
}

// For a request with little time left, an unresponsive remote node uses no more than half of
// it, so that a near node can still be attempted.
func TestAckTimeoutLeavesTimeForNearNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &exchange{deadline: time.Now().Add(180 * time.Millisecond), roundTrip: 40 * time.Millisecond, roundTripMeasured: true}
		must.Eq(t, 90*time.Millisecond, x.ackTimeout(0))
		x.deadline = time.Now().Add(300 * time.Millisecond)
		must.Eq(t, minAckTimeout+x.roundTrip, x.ackTimeout(0))
		x.roundTrip = 0
		must.Eq(t, minAckTimeout, x.ackTimeout(0))
		for _, roundTrip := range []time.Duration{90 * time.Millisecond, 140 * time.Millisecond} { // less than half of the time left
			x.roundTrip = roundTrip
			must.Greater(t, roundTrip, x.ackTimeout(0))
		}
	})
}

// A body that is sent only after 100 Continue costs a second round trip, and the choice of the
// endpoint takes this into account.
func TestBodyAwaitingContinueCostsTwoRoundTrips(t *testing.T) {
	out := NewOutbound(Config{Protocol: testProtocol, Logger: discardLogger(), Holder: &snapshot.Holder{}})
	trips := func(length int64, repeatable bool) int {
		x := &exchange{body: body{length: length}, route: &snapshot.Route{Route: declaration.Route{Repeatable: repeatable}}}
		d := dispatch{out: out, x: x}
		return d.need().RoundTrips
	}
	must.Eq(t, 1, trips(0, false))
	must.Eq(t, 2, trips(300, false))
	must.Eq(t, 1, trips(300, true))
	must.Eq(t, 2, trips(directBody+1, true))
}

// The loss of a region and its recovery are each logged once.
func TestRegionLossIsLoggedOnce(t *testing.T) {
	events := memory.New()
	out := NewOutbound(Config{Zone: "z1", Region: "r1", Protocol: testProtocol, Logger: &log.Logger{Handler: events}, Holder: &snapshot.Holder{}})
	x := &exchange{route: &snapshot.Route{}}
	far := snapshot.Endpoint{Worker: "i-far", Zone: "z9", Region: "r2"}
	near := snapshot.Endpoint{Worker: "i-near", Zone: "z2", Region: "r1"}
	for range 10 {
		out.chooser.record(x, far, balance.Observation{Failed: true, Unreachable: true})
		out.chooser.record(x, near, balance.Observation{Failed: true, Unreachable: true})
	}
	out.chooser.record(x, far, balance.Observation{RoundTrip: time.Millisecond})
	var logged []string
	for _, entry := range events.Entries {
		logged = append(logged, entry.Message+" "+entry.Fields.Get("region").(string))
	}
	must.Eq(t, []string{"region.lost r2", "region.reached r2"}, logged)
}

// Bytes are counted by the distance to the endpoint.
func TestDistanceLabel(t *testing.T) {
	out := NewOutbound(Config{Zone: "z1", Region: "r1", Protocol: testProtocol, Logger: discardLogger(), Holder: &snapshot.Holder{}})
	must.Eq(t, distanceSameZone, out.distanceLabel(snapshot.Endpoint{Zone: "z1", Region: "r1"}))
	must.Eq(t, distanceSameRegion, out.distanceLabel(snapshot.Endpoint{Zone: "z2", Region: "r1"}))
	must.Eq(t, distanceOtherRegion, out.distanceLabel(snapshot.Endpoint{Zone: "z9", Region: "r2"}))
}

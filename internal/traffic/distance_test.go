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

// distantNode is a node so far away: opening a connection to it takes the way there and
// back, and so does its sign.
type distantNode struct {
	roundTrip time.Duration
	offers    int
}

func (n *distantNode) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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

// serve answers one request after the other until the caller's node hangs up.
func (n *distantNode) serve(conn net.Conn) {
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

// farEndpoint is the worker beside a distant node.
var farEndpoint = snapshot.Endpoint{Worker: "i-far", Zone: "z9", Region: "r2", Address: "far:1", Slots: 6}

// newDistantOutbound is the handler of a node that dials nothing but a distant node.
func newDistantOutbound(node *distantNode) *Outbound {
	return NewOutbound(Config{Zone: "z1", Region: "r1", Dial: node.dial, Protocol: testProtocol, Logger: quiet(), Holder: &snapshot.Holder{}})
}

// distantExchange is a request without a body that has so much time.
func distantExchange(t *testing.T, out *Outbound, left time.Duration) *exchange {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://shop.example/lookup/1", http.NoBody)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), left)
	t.Cleanup(cancel)
	return &exchange{
		writer: httptest.NewRecorder(), request: request.WithContext(ctx), context: ctx, started: time.Now(), deadline: time.Now().Add(left),
		concurrentBody: true, smallAnswer: 100, protocol: &out.config.Protocol,
		route: &snapshot.Route{Route: declaration.Route{Name: "lookup", Repeatable: true}, MaxAttempts: 2},
	}
}

// offerTo offers a request that has so much time to a node of another region.
func (n *distantNode) offerTo(t *testing.T, out *Outbound, left time.Duration) *result {
	t.Helper()
	x := distantExchange(t, out, left)
	x.roundTrip, x.measured = out.chooser.roundTrip(farEndpoint)
	got, seen, failure := out.offer(x, farEndpoint)
	out.chooser.ended(x, farEndpoint, seen)
	if got != nil {
		_, _ = io.Copy(io.Discard, got.response.Body)
		_ = got.response.Body.Close()
	}
	return failure
}

// An offer to a node that is further away than near nodes may be silent is not given up:
// neither the first one, of which nothing was measured and which opens a connection, nor
// those after it. The distance is learnt from it.
func TestDistantNodeIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &distantNode{roundTrip: firstSilent + 70*time.Millisecond}
		out := newDistantOutbound(node)
		for range 3 {
			must.Nil(t, node.offerTo(t, out, 450*time.Millisecond))
		}
		took, measured := out.chooser.roundTrip(farEndpoint)
		must.Eq(t, node.roundTrip, took)
		must.True(t, measured)
		out.pool.close()
	})
}

// A request that may run twice is not made again elsewhere while its far node's sign is on
// the way: one offer, one answer.
func TestDistantNodeIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &distantNode{roundTrip: firstSilent + 70*time.Millisecond}
		out := newDistantOutbound(node)
		x := distantExchange(t, out, 450*time.Millisecond)
		d := &dispatch{out: out, x: x, ended: make(chan *openTry, mostOffers)}
		defer d.close()
		ended, done := d.try(snapshot.Target{Service: "shop"}, farEndpoint, false)
		must.True(t, done)
		must.Eq(t, outcome.Answered, ended.outcome)
		must.Eq(t, 1, node.offers)
		must.SliceEmpty(t, d.open)
		out.pool.close()
	})
}

// Of a call with little time, half is left for a near node where a far one is silent.
func TestDistantSilenceLeavesTimeForANearNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &exchange{deadline: time.Now().Add(180 * time.Millisecond), roundTrip: 40 * time.Millisecond, measured: true}
		must.Eq(t, 90*time.Millisecond, x.silenceLimit(0))
		x.deadline = time.Now().Add(300 * time.Millisecond)
		must.Eq(t, firstSilent+x.roundTrip, x.silenceLimit(0))
		x.roundTrip = 0
		must.Eq(t, firstSilent, x.silenceLimit(0))
		for _, roundTrip := range []time.Duration{90 * time.Millisecond, 140 * time.Millisecond} { // less than half of what is left
			x.roundTrip = roundTrip
			must.Greater(t, roundTrip, x.silenceLimit(0))
		}
	})
}

// A body that goes out only once it is asked for takes the way to the node twice, and the
// choice is told so.
func TestOfferedBodyTakesTheWayTwice(t *testing.T) {
	out := NewOutbound(Config{Protocol: testProtocol, Logger: quiet(), Holder: &snapshot.Holder{}})
	trips := func(length int64, repeatable bool) int {
		x := &exchange{body: body{length: length}, route: &snapshot.Route{Route: declaration.Route{Repeatable: repeatable}}}
		d := dispatch{out: out, x: x}
		return d.need().Trips
	}
	must.Eq(t, 1, trips(0, false))
	must.Eq(t, 2, trips(300, false))
	must.Eq(t, 1, trips(300, true))
	must.Eq(t, 2, trips(directBody+1, true))
}

// The operator is told once that a region was lost, and once that it is reached again.
func TestLostRegionIsTold(t *testing.T) {
	events := memory.New()
	out := NewOutbound(Config{Zone: "z1", Region: "r1", Protocol: testProtocol, Logger: &log.Logger{Handler: events}, Holder: &snapshot.Holder{}})
	x := &exchange{route: &snapshot.Route{}}
	far := snapshot.Endpoint{Worker: "i-far", Zone: "z9", Region: "r2"}
	near := snapshot.Endpoint{Worker: "i-near", Zone: "z2", Region: "r1"}
	for range 10 {
		out.chooser.ended(x, far, balance.Observation{Failed: true, Unreachable: true})
		out.chooser.ended(x, near, balance.Observation{Failed: true, Unreachable: true})
	}
	out.chooser.ended(x, far, balance.Observation{RoundTrip: time.Millisecond})
	var told []string
	for _, entry := range events.Entries {
		told = append(told, entry.Message+" "+entry.Fields.Get("region").(string))
	}
	must.Eq(t, []string{"region.lost r2", "region.reached r2"}, told)
}

// Bytes are counted by how far they go.
func TestHowFarATryGoes(t *testing.T) {
	out := NewOutbound(Config{Zone: "z1", Region: "r1", Protocol: testProtocol, Logger: quiet(), Holder: &snapshot.Holder{}})
	must.Eq(t, toZone, out.howFar(snapshot.Endpoint{Zone: "z1", Region: "r1"}))
	must.Eq(t, toRegion, out.howFar(snapshot.Endpoint{Zone: "z2", Region: "r1"}))
	must.Eq(t, toFar, out.howFar(snapshot.Endpoint{Zone: "z9", Region: "r2"}))
}

package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// An acknowledgement may arrive at the moment at which its timeout expires. Either it counts,
// or the body is not sent. Fault: a request that was abandoned as unacknowledged ran at its
// worker, was interrupted there, and could not be sent again.
func TestAckAtTimeoutCountsOrBodyIsNotSent(t *testing.T) {
	const times = 300 // the scheduler decides which of the two comes first
	for range times {
		synctest.Test(t, ackRacingWithAckTimeout)
	}
}

func ackRacingWithAckTimeout(t *testing.T) {
	const ackTimeout = 300 * time.Millisecond
	near, far := net.Pipe()
	sent := make(chan bool, 1)
	go func() {
		reader := bufio.NewReader(far)
		_, err := http.ReadRequest(reader)
		must.NoError(t, err)
		time.Sleep(ackTimeout)
		_, _ = io.WriteString(far, "HTTP/1.1 100 Continue\r\n\r\n") // fails if the caller has closed the connection
		_, err = io.ReadFull(reader, make([]byte, len("cards")))
		sent <- err == nil
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_ = far.Close()
	}()
	dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
	request, err := http.NewRequest("POST", "http://node/order/", http.NoBody)
	must.NoError(t, err)
	x := &exchange{
		request: request, context: t.Context(), deadline: time.Now().Add(time.Minute), concurrentBody: true,
		route: &snapshot.Route{}, body: body{present: true, length: 5, whole: []byte("cards")},
	}
	to := &hop{pool: newPool(sealedDial(dial, time.Second), 1, 0), address: "node", expectBuffered: true, ackTimeout: ackTimeout}
	got, failure := send(x, to, func(*http.Response) *result { return nil })
	_ = near.Close()
	if bodySent := <-sent; bodySent {
		must.Nil(t, failure)
		must.Eq(t, http.StatusOK, got.response.StatusCode)
		return
	}
	must.NotNil(t, failure)
	must.Eq(t, outcome.NotRun, failure.outcome)
}

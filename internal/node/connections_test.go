package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"sliphead/internal/outcome"
)

// client is the client side of one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c client) get(t *testing.T) *http.Response {
	t.Helper()
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a\r\nSliphead-Request-Id: r1\r\nSliphead-Attempt: t1\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// Opens more connections than the limit and checks that the first request on each extra one is
// rejected as not run, and that a connection is admitted again once others were closed.
func TestConnectionsBeyondTheLimitAreRejectedAsNotRun(t *testing.T) {
	const maximum = 2
	limit, run := newConnectionLimit(maximum), 0
	server := httptest.NewUnstartedServer(limit.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { run++ })))
	server.Listener = limit.listener(server.Listener)
	registry := prometheus.NewRegistry()
	limit.register(registry, "outbound")
	server.Start()
	defer server.Close()
	var open []net.Conn
	dial := func() client {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		open = append(open, conn)
		return client{conn: conn, reader: bufio.NewReader(conn)}
	}
	admitted := []client{dial(), dial()}
	for _, c := range admitted {
		must.Eq(t, http.StatusOK, c.get(t).StatusCode)
	}
	rejected := dial()
	response := rejected.get(t)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	must.Eq(t, "r1", response.Header.Get(outcome.RequestID))
	must.Eq(t, "t1", response.Header.Get(outcome.Attempt))
	must.True(t, response.Close)
	must.Eq(t, maximum, run)
	for range maxRejectedConnections {
		dial()
	}
	_, err := dial().reader.ReadByte() // too many even for a rejection
	must.ErrorIs(t, err, io.EOF)
	for _, c := range open {
		must.NoError(t, c.Close())
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { open, _ := limit.counts(); return open == 0 })))
	must.Eq(t, http.StatusOK, dial().get(t).StatusCode)
	must.MapEmpty(t, limit.excess)
}

package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendRaw writes bytes to the first node's outbound listener and reads the response
// header. It returns nil if the connection ends without one.
func (m *catalogMesh) sendRaw(text string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.nodes[0].outbound, "http://"))
	must.NoError(m.t, err)
	defer conn.Close()
	must.NoError(m.t, conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.WriteString(conn, text)
	must.NoError(m.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return response
}

// Malformed requests must not reach a worker: those without an id or with one of 10 kB, those
// whose header other servers may parse differently, and those whose path may resolve to another
// one.
func TestDispatchRejectsMalformedRequests(t *testing.T) {
	head := "POST /order/ HTTP/1.1\r\nHost: shop.example\r\nX-Test-Deadline: 20000\r\n"
	id := "X-Test-Id: r-1\r\n"
	for name, text := range map[string]string{
		"no id":               head + "Content-Length: 0\r\n\r\n",
		"long id":             head + "X-Test-Id: " + strings.Repeat("r", 10<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"id with a blank":     head + "X-Test-Id: r 1\r\nContent-Length: 0\r\n\r\n",
		"two framings":        head + id + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":         head + id + "Content-Length: 5\r\nContent-Length: 6\r\n\r\ncards!",
		"bare line feed":      "POST /order/ HTTP/1.1\nHost: shop.example\r\n" + id + "\r\n",
		"path leads upwards":  "GET /lookup/../order/ HTTP/1.1\r\nHost: shop.example\r\n" + id + "\r\n",
		"unencoded character": "GET /lookup/a|b HTTP/1.1\r\nHost: shop.example\r\n" + id + "\r\n",
		"HTTP/1.0":            "GET /lookup/ HTTP/1.0\r\nHost: shop.example\r\n" + id + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 1)
			response := m.sendRaw(text)
			must.NotNil(t, response)
			must.Eq(t, http.StatusBadRequest, response.StatusCode)
			must.Zero(t, m.runs())
		})
	}
}

// A request whose caller disconnects in the middle of the body must not run.
func TestIncompleteBodyIsNotRun(t *testing.T) {
	m := newCatalogMesh(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.nodes[0].outbound, "http://"))
	must.NoError(t, err)
	_, err = fmt.Fprint(conn, "POST /order/ HTTP/1.1\r\nHost: shop.example\r\nX-Test-Id: r-1\r\nContent-Length: 50\r\n\r\nhalf of the cards")
	must.NoError(t, err)
	waitFor(t, func() bool { return m.nodes[0].out.InFlight() == 1 })
	must.NoError(t, conn.Close())
	waitFor(t, func() bool { return m.nodes[0].out.InFlight() == 0 })
	must.Zero(t, m.runs())
}

// Where callers use headers of their own, Idempotency-Key is one of the headers that are passed on.
// Fault: one that is not a valid key of sliphead's own interface got 400.
func TestCallersIdempotencyKeyIsPassedOn(t *testing.T) {
	for _, key := range []string{`"8e03978e-40d5-43e8-bc93-6894a57f9324"`, "order of 3 December", strings.Repeat("k", 300), ""} {
		m := newCatalogMesh(t, 2)
		m.onlyFirstWorker(1)
		m.entry = 1 // both nodes read it
		response, _, err := m.call("POST", "/order/", "cards", "Idempotency-Key", key)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprintf("key %q", key))
		got, _ := m.nodes[0].worker.lastRequest()
		must.Eq(t, []string{key}, got.Header["Idempotency-Key"])
	}
}

// Callers that use headers of their own choose their ids. Fault: one longer than 64 bytes, or with
// characters that ids of sliphead's own interface do not have, got 400.
func TestCallersRequestIDIsPassedOn(t *testing.T) {
	for _, id := range []string{"order/17:a=b", `{"till":3}`, "a+b/c==", strings.Repeat("i", 200)} {
		m := newCatalogMesh(t, 2)
		m.onlyFirstWorker(1)
		m.entry = 1 // both nodes read it
		response, _, err := m.call("POST", "/order/", "cards", testProtocol.RequestID, id)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprintf("id %q", id))
		must.Eq(t, id, response.Header.Get(testProtocol.RequestID))
		got, _ := m.nodes[0].worker.lastRequest()
		must.Eq(t, []string{id}, got.Header[testProtocol.RequestID])
	}
}

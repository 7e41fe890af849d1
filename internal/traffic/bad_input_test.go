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

// send writes bytes to the first node's outbound listener and reads the answer's
// header, nil when the connection ends without one.
func (m *catalogMesh) send(text string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.nodes[0].outbound, "http://"))
	must.NoError(m.t, err)
	defer conn.Close()
	must.NoError(m.t, conn.SetDeadline(time.Now().Add(hangBound)))
	_, err = io.WriteString(conn, text)
	must.NoError(m.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return response
}

// A request that is not sound runs nowhere: without an id or with one of 10 kB,
// with a header that others may read in another way, with a path that may lead
// elsewhere.
func TestDispatchRefusesUnsoundRequests(t *testing.T) {
	head := "POST /order/ HTTP/1.1\r\nHost: shop.example\r\nX-Test-Deadline: 20000\r\n"
	id := "X-Test-Id: r-1\r\n"
	for name, text := range map[string]string{
		"no id":              head + "Content-Length: 0\r\n\r\n",
		"long id":            head + "X-Test-Id: " + strings.Repeat("r", 10<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"id with a blank":    head + "X-Test-Id: r 1\r\nContent-Length: 0\r\n\r\n",
		"two framings":       head + id + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":        head + id + "Content-Length: 5\r\nContent-Length: 6\r\n\r\ncards!",
		"bare line feed":     "POST /order/ HTTP/1.1\nHost: shop.example\r\n" + id + "\r\n",
		"path leads upwards": "GET /lookup/../order/ HTTP/1.1\r\nHost: shop.example\r\n" + id + "\r\n",
		"HTTP/1.0":           "GET /lookup/ HTTP/1.0\r\nHost: shop.example\r\n" + id + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 1)
			response := m.send(text)
			must.NotNil(t, response)
			must.Eq(t, http.StatusBadRequest, response.StatusCode)
			must.Zero(t, m.runs())
		})
	}
}

// A caller that stops in the middle of its body has nothing run.
func TestDispatchRunsNoHalfBody(t *testing.T) {
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

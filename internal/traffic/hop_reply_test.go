package traffic

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// newReplyingNode starts a stand-in for a worker's node that replies to each request with a response
// to another attempt.
func newReplyingNode(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replyToOtherAttempts(conn)
		}
	}()
	return listener.Addr().String()
}

func replyToOtherAttempts(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(testProtocol.RequestID)
		for _, flags := range []string{"a", "n"} { // a response of a worker, then a refusal
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other;%s;1/2/0\r\n%s: %s\r\n%s: signed\r\nContent-Length: 5\r\n\r\nwrong", hopHeader, flags, testProtocol.RequestID, id, testProtocol.Signature)
		}
	}
}

// A reply to another attempt is neither a response nor a refusal of the request that it follows:
// the request may have run. Guards against matching replies by their order alone.
func TestReplyToOtherAttemptIsNoAnswer(t *testing.T) {
	for method, body := range map[string]string{"GET": "", "POST": "cards"} {
		m := newCatalogMesh(t, 2)
		replying := newReplyingNode(t)
		m.publish(func(route *snapshot.Route) {
			route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
			route.Targets[0].Endpoints[0].Address = replying
		})
		response, text, err := m.call(method, "/order/", body)
		must.NoError(t, err)
		must.Eq(t, http.StatusBadGateway, response.StatusCode, must.Sprint(method))
		must.NotEq(t, "wrong", text)
	}
}

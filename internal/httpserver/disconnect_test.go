package httpserver

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// disconnectCase is what a caller sends before it disconnects while its requests run.
type disconnectCase struct {
	name     string
	sent     string
	running  int  // requests that run when the caller disconnects
	readBody bool // whether the handler reads the bodies
}

// checkDisconnect checks that all running requests end when their caller disconnects.
func checkDisconnect(t *testing.T, each disconnectCase) {
	synctest.Test(t, func(t *testing.T) {
		var started atomic.Int32
		ended := make(chan time.Time, each.running)
		c := dial(t, nil, func(_ http.ResponseWriter, r *http.Request) {
			if each.readBody {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			started.Add(1)
			select {
			case <-r.Context().Done():
			case <-time.After(time.Minute):
			}
			ended <- time.Now()
		})
		c.send(each.sent)
		synctest.Wait()
		must.Eq(t, each.running, int(started.Load()))
		time.Sleep(time.Second)
		must.NoError(t, c.conn.Close())
		disconnected := time.Now()
		for range each.running {
			must.Eq(t, disconnected, <-ended)
		}
		synctest.Wait()
		must.Eq(t, each.running, int(started.Load())) // nothing starts after the caller has left
	})
}

// A request with a body whose connection closes after the response is cancelled when its caller
// disconnects. Fault: nothing read the connection after the body, and requests that waited for a
// worker reached it seconds after their callers had left.
func TestDisconnectCancelsRequestWithBodyOnClosingConnection(t *testing.T) {
	for _, each := range []disconnectCase{
		{"length", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\n\r\ncards", 1, true},
		{"chunks", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncards\r\n0\r\n\r\n", 1, true},
		{"HTTP/1.0", "POST /a HTTP/1.0\r\nHost: x\r\nContent-Length: 5\r\n\r\ncards", 1, true},
		{"unread body that waits for 100 Continue", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", 1, false},
	} {
		t.Run(each.name, func(t *testing.T) { checkDisconnect(t, each) })
	}
}

// Requests are cancelled when their caller disconnects although bytes that are not read yet
// have arrived behind them. Fault: such bytes ended the watch for the disconnect.
func TestDisconnectCancelsRequestsBeforeUnreadBytes(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	post := "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\ncards"
	closing := "POST /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\n\r\ncards"
	for _, each := range []disconnectCase{
		{"request that must run alone", get + get + post, 2, true},
		{"line end behind a closing request", closing + "\r\n", 1, true},
		{"request behind a closing request", closing + get, 1, true},
		{"invalid request", get + "nonsense\r\n\r\n" + get, 1, true},
		{"more requests than may run", strings.Repeat(get, defaultMaxPipelined+3), defaultMaxPipelined, true},
	} {
		t.Run(each.name, func(t *testing.T) { checkDisconnect(t, each) })
	}
}

// A request that arrives while responses that wait for earlier ones have reached their limit is
// read and served later, whatever read deadline the watch for a disconnect has left behind.
func TestRequestThatArrivesAtTheLimitIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, func(s *Server) { s.MaxPendingBytes = 10 }, func(w http.ResponseWriter, r *http.Request) {
			duration, _ := time.ParseDuration(r.URL.Query().Get("for"))
			time.Sleep(duration)
			_, _ = io.WriteString(w, strings.Repeat("x", 10))
		})
		c.get("/first?for=3s", "/second?for=1s")
		time.Sleep(2 * time.Second) // the second response waits for the first one
		c.send("GET /third HT")
		c.readResponse()
		c.readResponse()
		c.send("TP/1.1\r\nHost: x\r\n\r\n")
		response, _ := c.readResponse()
		must.Eq(t, http.StatusOK, response.StatusCode)
	})
}

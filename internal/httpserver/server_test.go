package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/logging"
)

// memoryListener is a listener whose connections are in-memory pipes, so that tests can use
// virtual time.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (n *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-n.conns:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}
func (n *memoryListener) Close() error   { close(n.closed); return nil }
func (n *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// caller is the client side of one connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dial starts a server with a handler and opens a connection to it. GET requests are safe.
func dial(t *testing.T, change func(*Server), handler http.HandlerFunc) *caller {
	server := &Server{Handler: handler, Safe: func(r *http.Request) bool { return r.Method == http.MethodGet }, Logger: logging.Discard()}
	if change != nil {
		change(server)
	}
	listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = server.Serve(listener) }()
	client, serverEnd := net.Pipe()
	listener.conns <- serverEnd
	t.Cleanup(func() { _ = server.Close(); _ = client.Close() })
	return &caller{t: t, conn: client, reader: bufio.NewReader(client)}
}

// send writes without waiting for the server to read.
func (c *caller) send(text string) {
	go func() { _, _ = io.WriteString(c.conn, text) }()
}

// get sends pipelined GET requests in one write.
func (c *caller) get(paths ...string) {
	var text strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	}
	c.send(text.String())
}

// readResponse reads one response with its body.
func (c *caller) readResponse() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	return response, string(body)
}

// expectEnd checks that the connection has ended.
func (c *caller) expectEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	must.Error(c.t, err)
}

// respondLater responds with the path after the duration in the query.
func respondLater(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	duration, _ := time.ParseDuration(r.URL.Query().Get("for"))
	select {
	case <-time.After(duration):
		_, _ = io.WriteString(w, r.URL.Path)
	case <-r.Context().Done():
	}
}

func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, respondLater)
		began := time.Now()
		c.get("/a?for=3s", "/b?for=1s", "/c?for=2s")
		for _, path := range []string{"/a", "/b", "/c"} {
			response, body := c.readResponse()
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, path, body)
		}
		must.Eq(t, 3*time.Second, time.Since(began)) // not 6 s
	})
}

// A request that is not safe starts after those before it have ended, and ends before those
// after it start.
func TestUnsafeRequestsRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, together atomic.Int32
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			others := running.Add(1) - 1
			defer running.Add(-1)
			if r.Method == http.MethodPost {
				together.Add(others)
			}
			respondLater(w, r)
			if r.Method == http.MethodPost {
				together.Add(running.Load() - 1)
			}
		})
		began := time.Now()
		get := "GET /a?for=1s HTTP/1.1\r\nHost: x\r\n\r\n"
		post := "POST /b?for=1s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
		c.send(get + get + post + get + post)
		for _, path := range []string{"/a", "/a", "/b", "/a", "/b"} {
			_, body := c.readResponse()
			must.Eq(t, path, body)
		}
		must.Zero(t, together.Load())
		must.Eq(t, 4*time.Second, time.Since(began))
	})
}

// A response that closes the connection is the last one. A request after it is not read and
// does not run, whether it is safe or not.
func TestNoRequestRunsAfterAResponseThatCloses(t *testing.T) {
	for _, behind := range []string{"GET", "POST"} {
		t.Run(behind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs atomic.Int32
				c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					w.Header().Set("Connection", "close")
					_, _ = io.WriteString(w, "bye")
				})
				c.get("/a")
				response, _ := c.readResponse()
				must.True(t, response.Close)
				c.send(behind + " /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
				c.expectEnd()
				must.Eq(t, 1, runs.Load())
			})
		})
	}
}

// A request of which only a part had arrived when a response closed the connection does not
// run.
func TestPartialRequestDoesNotRunAfterAResponseThatCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set("Connection", "close")
			respondLater(w, r)
		})
		c.send("GET /a?for=1s HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHo")
		response, _ := c.readResponse()
		must.True(t, response.Close)
		c.send("st: x\r\n\r\n")
		c.expectEnd()
		must.Eq(t, 1, runs.Load())
	})
}

// When later requests have already started, a response does not announce that the connection
// closes: the last of them does, and all get their responses.
func TestLastStartedRequestAnnouncesClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			respondLater(w, r)
		})
		c.get("/a?for=1s", "/b?for=2s", "/c?for=1s")
		for _, path := range []string{"/a", "/b", "/c"} {
			response, body := c.readResponse()
			must.Eq(t, path, body)
			must.Eq(t, path == "/c", response.Close)
		}
		c.expectEnd()
	})
}

// A response was lost with its connection although its worker had produced it. A stopping node
// stopped reading after a response that closes, while other responses were outstanding; the
// caller abandoned the requests that it had sent after it, closed the connection, and lost the
// responses that it still waited for.
//
// So requests that arrive after a response that closes, while others are outstanding, must be
// read and rejected in order, without running.
func TestRequestsAfterAResponseThatClosesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		c := dial(t, func(server *Server) {
			server.RejectClosing = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "behind")
			})
		}, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set("Connection", "close")
			respondLater(w, r)
		})
		c.get("/a?for=1s", "/b?for=3s")
		response, _ := c.readResponse()
		must.False(t, response.Close)
		c.get("/c", "/d")
		synctest.Wait()
		response, body := c.readResponse()
		must.Eq(t, "/b", body)
		must.False(t, response.Close)
		for _, last := range []bool{false, true} {
			response, body = c.readResponse()
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			must.Eq(t, "behind", body)
			must.Eq(t, last, response.Close)
		}
		c.expectEnd()
		must.Eq(t, 2, runs.Load())
	})
}

// When a caller disconnects, each of its requests is cancelled at once, also those that wait
// for earlier responses or for a request that runs alone.
func TestCallerDisconnectCancelsAllRequests(t *testing.T) {
	for name, text := range map[string]string{
		"ahead":  strings.Repeat("GET /a?for=1h HTTP/1.1\r\nHost: x\r\n\r\n", 3),
		"alone":  "POST /a?for=1h HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi",
		"behind": "GET /a?for=1h HTTP/1.1\r\nHost: x\r\n\r\nPOST /b?for=1h HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var begun, ended atomic.Int32
				c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
					begun.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					respondLater(w, r)
					ended.Add(1)
				})
				c.send(text)
				synctest.Wait()
				before := begun.Load()
				must.Positive(t, before)
				began := time.Now()
				_ = c.conn.Close()
				synctest.Wait()
				must.Eq(t, before, ended.Load())
				must.Eq(t, before, begun.Load())
				must.Zero(t, time.Since(began))
			})
		})
	}
}

// An aborted response closes the connection after the responses before it were sent.
func TestAbortedResponseClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/b" {
				panic(http.ErrAbortHandler)
			}
			respondLater(w, r)
		})
		c.get("/a?for=1s", "/b", "/c")
		_, body := c.readResponse()
		must.Eq(t, "/a", body)
		c.expectEnd()
	})
}

// A response body shorter than its Content-Length must not look complete to the caller.
func TestShortResponseBodyIsSeenAsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "half")
		})
		c.get("/a", "/b")
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// The number of pipelined requests that run is limited, and so are the bytes of responses that
// wait for earlier ones: at either limit no further request is read.
func TestPipelinedRequestsAreLimited(t *testing.T) {
	const bound = 4
	synctest.Test(t, func(t *testing.T) {
		var begun atomic.Int32
		c := dial(t, func(s *Server) { s.MaxPipelined = bound }, func(w http.ResponseWriter, r *http.Request) {
			begun.Add(1)
			respondLater(w, r)
		})
		c.get("/a?for=1s", "/a", "/a", "/a", "/a", "/a")
		synctest.Wait()
		must.Eq(t, bound, begun.Load())
		for range 6 {
			c.readResponse()
		}
	})
	synctest.Test(t, func(t *testing.T) {
		var begun atomic.Int32
		c := dial(t, func(s *Server) { s.MaxPendingBytes = 10 }, func(w http.ResponseWriter, r *http.Request) {
			begun.Add(1)
			if r.URL.Path == "/a" {
				time.Sleep(time.Second)
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 10))
		})
		c.get("/a")
		synctest.Wait()
		c.get("/b")
		synctest.Wait()
		c.get("/c")
		synctest.Wait()
		must.Eq(t, 2, begun.Load()) // the response of /b waits and reaches MaxPendingBytes
		for range 3 {
			c.readResponse()
		}
	})
}

// Request bodies of known length, in chunks, and with Expect: 100-continue are read in full.
func TestRequestBodiesAreReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			must.NoError(t, err)
			_, _ = w.Write(body)
		})
		c.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nwhole" +
			"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n3\r\nnks\r\n0\r\nTrailer: y\r\n\r\n" +
			"GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
		for _, want := range []string{"whole", "chunks", ""} {
			_, body := c.readResponse()
			must.Eq(t, want, body)
		}
		c.send("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusContinue, response.StatusCode)
		c.send("asked")
		_, body := c.readResponse()
		must.Eq(t, "asked", body)
	})
}

// The connection closes after the response to a request whose body was not read.
func TestUnreadRequestBodyClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		c.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
		response, _ := c.readResponse()
		must.True(t, response.Close)
	})
}

// Requests that another program may read differently are rejected, as the first request of a
// connection and as a later one, and no request after them runs.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"two framings":        "POST /bad HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":         "POST /bad HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"bare line feed":      "GET /bad HTTP/1.1\r\nHost: x\nA: b\r\n\r\n",
		"bare end":            "GET /bad HTTP/1.1\r\nHost: x\r\n\n",
		"folded line":         "GET /bad HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
		"blank before colon":  "GET /bad HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\n",
		"carriage return":     "GET /bad HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n",
		"no host":             "GET /bad HTTP/1.1\r\nA: b\r\n\r\n",
		"two hosts":           "GET /bad HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"no request":          "\x16\x03\x01\r\n\r\n",
		"coding of no kind":   "POST /bad HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"length not a number": "POST /bad HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd",
	} {
		for _, before := range []string{"", "GET /good?for=1s HTTP/1.1\r\nHost: x\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s after %d bytes", name, len(before)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var bad atomic.Int32
					c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != "/good" {
							bad.Add(1)
						}
						respondLater(w, r)
					})
					c.send(before + text + "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n")
					if before != "" {
						_, body := c.readResponse()
						must.Eq(t, "/good", body)
					}
					response, _ := c.readResponse()
					must.Eq(t, http.StatusBadRequest, response.StatusCode)
					must.True(t, response.Close)
					c.expectEnd()
					must.Zero(t, bad.Load())
				})
			})
		}
	}
}

func TestLongHeaderIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, respondLater)
		c.send("GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", defaultMaxHeaderBytes) + "\r\n\r\n")
		response, _ := c.readResponse()
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	})
}

// A connection that receives nothing is closed: after the header timeout when it is new or in
// the middle of a header, else after the idle timeout. Waiting for a long response does not
// count as idle.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for name, step := range map[string]struct {
		text    string
		answers int
		within  time.Duration
	}{
		"new":              {"", 0, defaultHeaderTimeout},
		"half a header":    {"GET / HTT", 0, defaultHeaderTimeout},
		"idle":             {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 1, defaultIdleTimeout},
		"after a response": {"GET /a?for=10m HTTP/1.1\r\nHost: x\r\n\r\n", 1, 10*time.Minute + defaultIdleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := dial(t, nil, respondLater)
				began := time.Now()
				c.send(step.text)
				for range step.answers {
					c.readResponse()
				}
				c.expectEnd()
				must.Eq(t, step.within, time.Since(began))
			})
		})
	}
}

// A caller that never reads blocks only its own connection, which fails at the write deadline
// of its request.
func TestCallerThatNeverReadsFailsAtTheWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var begun atomic.Int32
		failed := make(chan error, 4)
		c := dial(t, func(s *Server) { s.MaxPendingBytes = 1 }, func(w http.ResponseWriter, _ *http.Request) {
			begun.Add(1)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
			_, err := io.WriteString(w, strings.Repeat("x", 2*writerSize))
			failed <- err
		})
		for _, path := range []string{"/a", "/b", "/c", "/d"} {
			c.get(path)
			synctest.Wait()
		}
		must.Error(t, <-failed)
		must.LessEq(t, 2, begun.Load())
	})
}

// Responses without a length are sent in chunks, and HEAD responses without a body.
func TestResponsesWithoutLengthAreChunked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			for _, part := range []string{"one ", "two"} {
				_, _ = io.WriteString(w, part)
				must.NoError(t, http.NewResponseController(w).Flush())
			}
		})
		c.get("/a")
		response, body := c.readResponse()
		must.Eq(t, []string{"chunked"}, response.TransferEncoding)
		must.Eq(t, "one two", body)
		c.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		must.NoError(t, err)
		must.Zero(t, len(response.TransferEncoding))
		c.get("/a")
		_, body = c.readResponse()
		must.Eq(t, "one two", body)
	})
}

// Close closes listeners and connections and cancels requests in flight.
func TestCloseStopsListenersAndConnections(t *testing.T) {
	server := &Server{Handler: http.HandlerFunc(respondLater), Logger: logging.Discard()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a?for=1h HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	must.NoError(t, server.Close())
	must.True(t, errors.Is(<-ended, ErrServerClosed))
	_, err = conn.Read(make([]byte, 1))
	must.Error(t, err)
}

// closeHookConn calls closed before each Close.
type closeHookConn struct {
	net.Conn
	closed func()
}

func (c *closeHookConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// An aborted connection is closed before its requests are cancelled: otherwise a handler that
// returns early could still send a response that reflects only the cancellation.
func TestAbortClosesBeforeItCancels(t *testing.T) {
	running := make(chan context.Context, 1)
	server := &Server{Logger: logging.Discard(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		running <- request.Context()
		<-request.Context().Done()
	})}
	listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = server.Serve(listener) }()
	client, serverEnd := net.Pipe()
	var request context.Context
	atClose := make(chan error, 1)
	listener.conns <- &closeHookConn{Conn: serverEnd, closed: sync.OnceFunc(func() { atClose <- request.Err() })}
	_, err := io.WriteString(client, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	request = <-running
	must.NoError(t, server.Close())
	must.NoError(t, <-atClose)
	_, err = client.Read(make([]byte, 1))
	must.Error(t, err)
}

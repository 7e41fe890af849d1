package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// pipes is an in-memory network for tests in virtual time.
type pipes map[string]chan net.Conn

func (p pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p[address] <- far: // without a listener the dial blocks until ctx ends
		return near, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Peer, "none", "dial %s", address)
	}
}

// pipeListener accepts connections at one address.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servesAndCloses is a server of net/http or of package httpserver.
type servesAndCloses interface {
	Serve(net.Listener) error
	Close() error
}

func (p pipes) serve(t *testing.T, address string, server servesAndCloses) {
	p[address] = make(chan net.Conn)
	listener := &pipeListener{conns: p[address], closed: make(chan struct{})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// pipeMesh is a mesh in virtual time. Its worker has one slot.
type pipeMesh struct {
	pipes  pipes
	in     *Inbound
	out    *Outbound
	client *http.Client
}

func newPipeMesh(t *testing.T, worker http.HandlerFunc) *pipeMesh {
	m := &pipeMesh{pipes: pipes{}}
	holder := &snapshot.Holder{}
	config := Config{Zone: "z1", Holder: holder, Worker: "w1", WorkerAddress: "worker:1", Dial: m.pipes.dial, Logger: discardLogger(), Edge: true}
	m.in = NewInbound(config)
	m.out = NewOutbound(config)
	m.pipes.serve(t, "worker:1", &http.Server{Handler: worker})
	m.pipes.serve(t, "in:1", NewServer(m.in, config.Limits))
	m.pipes.serve(t, "out:1", NewServer(m.out, config.Limits))
	near := snapshot.Endpoint{Worker: "w1", Zone: "z1", Address: "in:1", Slots: 1, Connections: 130}
	holder.Store(viewOf([]snapshot.Endpoint{near}))
	holder.Renew(time.Now().Add(time.Hour))
	transport := &http.Transport{DialContext: m.pipes.dial}
	m.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		m.out.transport.CloseIdleConnections()
		m.in.worker.transport.CloseIdleConnections()
		m.out.pool.close()
		m.in.worker.pool.close()
	})
	return m
}

func (m *pipeMesh) get(t *testing.T, path string) (*http.Response, string) {
	response, err := m.client.Get("http://out:1" + path)
	must.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response, string(text)
}

// occupy sends a request and ignores its response.
func (m *pipeMesh) occupy(path string) {
	go func() {
		if response, err := m.client.Get("http://out:1" + path); err == nil {
			_ = response.Body.Close()
		}
	}()
	synctest.Wait()
}

// sleeper runs for the duration in the query and responds with the remaining time that it
// received.
func sleeper(w http.ResponseWriter, r *http.Request) {
	duration, _ := time.ParseDuration(r.URL.Query().Get("run"))
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, r.Header.Get(outcome.Deadline))
}

// A request that waits for a slot is refused before its deadline, so that the caller receives
// not-run.
func TestQueuedRequestIsRefusedBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		m.occupy("/lookup?run=10s")
		began := time.Now()
		response, _ := m.get(t, "/quick-order")
		must.Less(t, 150*time.Millisecond, time.Since(began))
		must.Eq(t, "not-run", response.Header.Get(outcome.Header))
		must.Eq(t, "1", response.Header.Get("Retry-After"))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		must.Zero(t, m.in.InFlight())
	})
}

// A request that cannot be served by its deadline is refused immediately, with Retry-After.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		m.get(t, "/lookup?run=4s") // the node has now measured a run of four seconds
		m.occupy("/lookup?run=4s")
		m.occupy("/lookup?run=4s")
		began := time.Now()
		response, _ := m.get(t, "/quick-order")
		must.Zero(t, time.Since(began))
		must.Eq(t, "not-run", response.Header.Get(outcome.Header))
		must.Eq(t, "6", response.Header.Get("Retry-After")) // half of the running request, and the queued one
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// A run that exceeds its deadline ends in a final response at the deadline.
func TestOverrunningRequestEndsUnknownAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		began := time.Now()
		response, _ := m.get(t, "/quick-order?run=10s")
		must.LessEq(t, 150*time.Millisecond, time.Since(began))
		must.Eq(t, http.StatusGatewayTimeout, response.StatusCode)
		must.Eq(t, "unknown", response.Header.Get(outcome.Header))
		synctest.Wait()
		must.Zero(t, m.in.InFlight())
	})
}

// The worker receives the time that is left, not the route's deadline.
func TestWorkerReceivesRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		m.occupy("/lookup?run=20s")
		_, text := m.get(t, "/lookup")
		left, err := strconv.Atoi(text)
		must.NoError(t, err)
		must.Eq(t, 40_000, left) // 20 of the route's 60 s passed in the queue
	})
}

// A node that accepts no connection costs the connect timeout, not the deadline.
func TestUnreachableNodeCostsConnectTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		far := snapshot.Endpoint{Worker: "w1", Zone: "z2", Address: "in:1", Slots: 1, Connections: 130}
		unreachable := snapshot.Endpoint{Worker: "w0", Zone: "z1", Address: "silent:1", Slots: 1, Connections: 130}
		m.out.config.Holder.Store(viewOf([]snapshot.Endpoint{unreachable, far}))
		began := time.Now()
		response, _ := m.get(t, "/order")
		must.Eq(t, "answered", response.Header.Get(outcome.Header))
		must.Eq(t, defaultConnectTimeout, time.Since(began))
	})
}

// A caller that does not read its response must not hold a slot forever.
func TestStalledCallerReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		})
		conn, err := m.pipes.dial(t.Context(), "", "out:1")
		must.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /quick-lookup HTTP/1.1\r\nHost: x\r\n\r\n")
		must.NoError(t, err)
		time.Sleep(150*time.Millisecond + writeGrace + time.Second)
		synctest.Wait()
		must.Zero(t, m.in.InFlight())
		must.Zero(t, m.out.InFlight())
	})
}

// A caller that stops sending its body gets a response after BodyTimeout.
func TestStalledBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, echoWorker)
		for path, length := range map[string]string{"/order": "100", "/upload": "100000"} {
			conn, err := m.pipes.dial(t.Context(), "", "out:1")
			must.NoError(t, err)
			began := time.Now()
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: "+length+"\r\n\r\nsome")
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.NotEq(t, "answered", response.Header.Get(outcome.Header))
			must.Eq(t, defaultBodyTimeout, time.Since(began))
			_ = conn.Close()
		}
	})
}

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

// pipes is a network in memory, so that time can be virtual.
type pipes map[string]chan net.Conn

func (p pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p[address] <- far: // an address at which nobody listens takes for ever
		return near, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Peer, "none", "dial %s", address)
	}
}

// pipeListener accepts at one address.
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
	config := Config{Zone: "z1", Holder: holder, Worker: "w1", WorkerAddress: "worker:1", Dial: m.pipes.dial, Logger: quiet(), Edge: true}
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

// occupy sends a request whose answer does not matter.
func (m *pipeMesh) occupy(path string) {
	go func() {
		if response, err := m.client.Get("http://out:1" + path); err == nil {
			_ = response.Body.Close()
		}
	}()
	synctest.Wait()
}

// sleeper runs as long as the query says and answers with the time left that
// it was told.
func sleeper(w http.ResponseWriter, r *http.Request) {
	length, _ := time.ParseDuration(r.URL.Query().Get("run"))
	select {
	case <-time.After(length):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, r.Header.Get(outcome.Deadline))
}

// A request that waits for a slot is refused before its deadline, so that the
// caller is told that it did not run.
func TestQueuedRequestIsRefusedInTime(t *testing.T) {
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

// A request that can't be served by its deadline is refused at once, and told
// when to come back.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		m.get(t, "/lookup?run=4s") // now a run is known to take four seconds
		m.occupy("/lookup?run=4s")
		m.occupy("/lookup?run=4s")
		began := time.Now()
		response, _ := m.get(t, "/quick-order")
		must.Zero(t, time.Since(began))
		must.Eq(t, "not-run", response.Header.Get(outcome.Header))
		must.Eq(t, "6", response.Header.Get("Retry-After")) // half of the run, and the one queued
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// A run past its deadline ends in a final answer at the deadline.
func TestLateAnswerIsUnknownAtTheDeadline(t *testing.T) {
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

// The worker is told the time that is left, not the route's.
func TestDeadlineShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		m.occupy("/lookup?run=20s")
		_, text := m.get(t, "/lookup")
		left, err := strconv.Atoi(text)
		must.NoError(t, err)
		must.Eq(t, 40_000, left) // of the route's 60 s, 20 s went by in the queue
	})
}

// A node that takes no connection costs the time to connect, not the deadline.
func TestSilentNodeIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(t, sleeper)
		far := snapshot.Endpoint{Worker: "w1", Zone: "z2", Address: "in:1", Slots: 1, Connections: 130}
		silent := snapshot.Endpoint{Worker: "w0", Zone: "z1", Address: "silent:1", Slots: 1, Connections: 130}
		m.out.config.Holder.Store(viewOf([]snapshot.Endpoint{silent, far}))
		began := time.Now()
		response, _ := m.get(t, "/order")
		must.Eq(t, "answered", response.Header.Get(outcome.Header))
		must.Eq(t, defaultConnectTimeout, time.Since(began))
	})
}

// A caller that does not read its answer holds no slot for ever.
func TestCallerThatDoesNotRead(t *testing.T) {
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

// A caller that stops sending its body is answered after BodyTimeout.
func TestStalledBodyEnds(t *testing.T) {
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

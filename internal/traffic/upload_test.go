package traffic

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// uploadPart is how much of an upload a worker reads before it responds, in bytes.
const uploadPart = 64 << 10

// partialWorker simulates a worker that responds to an upload after its first part, holds on to
// the connection and reads nothing more until the test ends.
type partialWorker struct {
	respond func(conn net.Conn, request *http.Request) // writes the response
	ended   chan struct{}                              // closed when the test ends

	mutex    sync.Mutex
	received [][]byte // the first part of each upload
}

// listenPartially replaces the workers of a mesh by partial ones.
func listenPartially(m *catalogMesh, respond func(net.Conn, *http.Request)) *partialWorker {
	w := &partialWorker{respond: respond, ended: make(chan struct{})}
	m.t.Cleanup(func() { close(w.ended) })
	for _, node := range m.nodes {
		listener := listen(m.t)
		m.t.Cleanup(func() { _ = listener.Close() })
		node.in.config.WorkerAddress = listener.Addr().String()
		go w.accept(listener)
	}
	return w
}

func (w *partialWorker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

func (w *partialWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	part := make([]byte, uploadPart)
	if _, err := io.ReadFull(request.Body, part); err != nil {
		return
	}
	w.mutex.Lock()
	w.received = append(w.received, part)
	w.mutex.Unlock()
	w.respond(conn, request)
	<-w.ended
}

// uploads returns the first part of each upload that the workers got.
func (w *partialWorker) uploads() [][]byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.received
}

// longUpload returns the body of an upload that is too long to be buffered, and in which no part
// is like another.
func longUpload() []byte {
	text := make([]byte, 2*maxWholeBody)
	_, _ = rand.NewChaCha8([32]byte{}).Read(text) // never fails
	return text
}

// upload sends a body with a length on a connection of its own, and returns the response. The
// body is still being sent when the response arrives.
func (m *catalogMesh) upload(path string, text []byte) *http.Response {
	m.t.Helper()
	conn, err := net.Dial("tcp", address(m.nodes[0].outbound))
	must.NoError(m.t, err)
	m.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: r-upload\r\n%s: 20000\r\nContent-Length: %d\r\n\r\n", path, testProtocol.RequestID, testProtocol.Deadline, len(text))
	must.NoError(m.t, err)
	go func() { _, _ = conn.Write(text) }() // fails when the node closes the connection early
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(m.t, err)
	return response
}

// rejectUpload responds that the worker does not run the request.
func rejectUpload(conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%s: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", testProtocol.NotExecuted)
}

// earlyResponses are the responses of a worker that has received only a part of an upload.
var earlyResponses = []struct {
	name, path string
	respond    func(net.Conn, *http.Request)
	status     int // of the response to the caller
}{
	{"rejected", "/order/", func(conn net.Conn, _ *http.Request) { rejectUpload(conn) }, http.StatusServiceUnavailable},
	{"failed", "/lookup/", func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\n%s: %s\r\n%s: signed\r\nContent-Length: 0\r\n\r\n", testProtocol.RequestID, request.Header.Get(testProtocol.RequestID), testProtocol.Signature)
	}, http.StatusInternalServerError},
	{"closed", "/lookup/", func(conn net.Conn, _ *http.Request) { _ = conn.Close() }, http.StatusBadGateway},
}

// An upload too long to be buffered is not offered to a second worker after a first one has
// received a part of it: the second one would run what is left of the client's file.
func TestPartlySentUploadIsNotOfferedAgain(t *testing.T) {
	for _, each := range earlyResponses {
		for _, place := range workerPlaces {
			t.Run(each.name+", "+place.name, func(t *testing.T) {
				m := newCatalogMesh(t, 3)
				m.publish(place.change)
				response := checkUploadIsOfferedOnce(t, m, each.path, each.respond)
				must.Eq(t, each.status, response.StatusCode)
			})
		}
	}
}

// workerPlaces are the places of the worker that an upload is offered to first.
var workerPlaces = []struct {
	name   string
	change func(*snapshot.Route)
}{
	{"beside the caller's node", nil},
	{"beside another node", func(route *snapshot.Route) { route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:] }},
}

// A caller whose upload a worker rejects is told that it has not run, however the worker treats
// the connection. Fault: a worker that closed it made the write of the body fail before the
// response was read, and the caller was told that the upload may have run.
func TestRejectedUploadIsReportedAsNotRun(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"holds":  func(conn net.Conn, _ *http.Request) { rejectUpload(conn) },
		"closes": func(conn net.Conn, _ *http.Request) { rejectUpload(conn); _ = conn.Close() },
		"reads and closes": func(conn net.Conn, r *http.Request) {
			rejectUpload(conn)
			_, _ = io.Copy(io.Discard, r.Body)
			_ = conn.Close()
		},
		"closes at the end": func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			rejectUpload(conn)
			_ = conn.Close()
		},
	} {
		for _, place := range workerPlaces {
			t.Run(name+", "+place.name, func(t *testing.T) {
				m := newCatalogMesh(t, 3)
				m.publish(place.change)
				listenPartially(m, respond)
				sent := longUpload()
				const uploads = 10
				for range uploads {
					response := m.upload("/order/", sent)
					must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
					must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
					must.NotEq(t, "", response.Header.Get("Retry-After"))
				}
			})
		}
	}
}

// checkUploadIsOfferedOnce sends an upload to workers that respond early, checks that one of them
// got its beginning and no other got anything, and returns the response.
func checkUploadIsOfferedOnce(t *testing.T, m *catalogMesh, path string, respond func(net.Conn, *http.Request)) *http.Response {
	t.Helper()
	worker := listenPartially(m, respond)
	sent := longUpload()
	response := m.upload(path, sent)
	for _, received := range worker.uploads() {
		must.True(t, bytes.HasPrefix(sent, received), must.Sprint("a worker got an upload that does not begin with the client's first byte"))
	}
	must.Len(t, 1, worker.uploads())
	return response
}

// A long upload that a node refuses before it has read any of the body runs whole at another
// worker.
func TestUnreadUploadIsOfferedAgain(t *testing.T) {
	m := newCatalogMesh(t, 2)
	view, _ := m.nodes[0].holder.Current(time.Now())
	leaving := *view
	leaving.Local.Draining = true
	m.nodes[0].holder.Store(&leaving)
	sent := longUpload()
	response := m.upload("/order/", sent)
	must.Eq(t, http.StatusOK, response.StatusCode)
	_, body := m.nodes[1].worker.lastRequest()
	must.True(t, body == string(sent))
}

// limitBodies sets the longest request body that the catalog allows, in bytes.
func (m *catalogMesh) limitBodies(bytes int64) {
	for _, node := range m.nodes {
		view, _ := node.holder.Current(time.Now())
		limited := *view
		limited.Limits.MaxBodyBytes = bytes
		node.holder.Store(&limited)
	}
}

// startChunkedUpload sends the header and a first part of a body in chunks, and returns the
// connection.
func (m *catalogMesh) startChunkedUpload(text []byte, deadline time.Duration) net.Conn {
	m.t.Helper()
	conn, err := net.Dial("tcp", address(m.nodes[0].outbound))
	must.NoError(m.t, err)
	m.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: shop.example\r\n%s: r-upload\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n", testProtocol.RequestID, testProtocol.Deadline, deadline.Milliseconds())
	must.NoError(m.t, err)
	go func() { // fails when the node closes the connection early
		chunks := httputil.NewChunkedWriter(conn)
		for len(text) > 0 {
			count := min(len(text), directBody)
			if _, err := chunks.Write(text[:count]); err != nil {
				return
			}
			text = text[count:]
		}
	}()
	return conn
}

// A body in chunks that is too long to be buffered reaches the worker whole, as one with a length
// does, also beside another node. Fault: it was rejected with 413, whatever the catalog allows.
func TestLongChunkedUploadIsServed(t *testing.T) {
	for _, place := range workerPlaces {
		t.Run(place.name, func(t *testing.T) {
			m := newCatalogMesh(t, 2)
			m.publish(place.change)
			sent := longUpload()
			m.limitBodies(int64(len(sent)))
			must.Eq(t, http.StatusOK, m.sendOrderBody(inChunks(string(sent))).StatusCode)
			must.Eq(t, 1, m.runs())
			for _, node := range m.nodes {
				if node.worker.runs() == 1 {
					_, body := node.worker.lastRequest()
					must.True(t, body == string(sent))
				}
			}
		})
	}
}

// A body in chunks that exceeds the catalog's limit is rejected once it does, without waiting for
// its end, whether it is still being buffered or already sent to a worker, and does not run.
func TestChunkedUploadAboveTheLimitIsRejected(t *testing.T) {
	for _, limit := range []int64{100, maxWholeBody - 1, maxWholeBody + 1, 2*maxWholeBody - 1} {
		for _, place := range workerPlaces {
			t.Run(fmt.Sprint(limit, ", ", place.name), func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				m.publish(place.change)
				m.limitBodies(limit)
				conn := m.startChunkedUpload(longUpload(), time.Minute)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusRequestEntityTooLarge, response.StatusCode)
				must.Zero(t, m.runs())
			})
		}
	}
}

// A body in chunks that does not go on ends at the request's deadline. Fault: it was read without
// a deadline, and the request never ended.
func TestStalledChunkedUploadIsRejected(t *testing.T) {
	m := newCatalogMesh(t, 1)
	conn := m.startChunkedUpload([]byte("cards"), 100*time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
	must.Zero(t, m.runs())
}

// The goroutine that sends a body may outlive its attempt. It reads nothing that the next
// attempt is to send.
func TestEndedAttemptReadsNothingFromTheBody(t *testing.T) {
	stream := newTestStream(strings.NewReader("artwork"))
	first := stream.newReader()
	must.True(t, stream.reclaim())
	second := stream.newReader()
	_, err := first.Read(make([]byte, 4))
	must.ErrorIs(t, err, errBodyReclaimed)
	text, err := io.ReadAll(second)
	must.NoError(t, err)
	must.Eq(t, "artwork", string(text))
	must.False(t, stream.reclaim())
}

// Bytes that an attempt is reading when it ends are sent nowhere: the connection's other bytes
// may have been discarded meanwhile.
func TestReadDuringWhichTheAttemptEndsReturnsNoBytes(t *testing.T) {
	source, caller := io.Pipe()
	stream := newTestStream(source)
	first := stream.newReader()
	var count int
	var readErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		count, readErr = first.Read(make([]byte, 4))
	}()
	waitFor(t, func() bool {
		stream.mutex.Lock()
		defer stream.mutex.Unlock()
		return stream.readStarted
	})
	must.False(t, stream.reclaim())
	_, err := caller.Write([]byte("work"))
	must.NoError(t, err)
	<-read
	must.ErrorIs(t, readErr, errBodyReclaimed)
	must.Zero(t, count)
}

func newTestStream(source io.Reader) *streamedBody {
	return &streamedBody{source: source, controller: http.NewResponseController(nil), timeout: time.Minute, deadline: time.Now().Add(time.Hour)}
}

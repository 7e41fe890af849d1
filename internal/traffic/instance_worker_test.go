package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// instanceWorker simulates a worker of a catalog's mesh. Each request gets the next behaviour
// of the script, and a good response once the script is empty.
type instanceWorker struct {
	id       string
	listener net.Listener

	mutex          sync.Mutex
	script         []string
	ran            []string // ids of requests that ran
	got            []*http.Request
	bodies         []string
	misdirected    int           // requests that were for another instance
	responseFields string        // header lines added to its own responses, each with its line end
	unblock        chan struct{} // closed to let "wait" respond
	disconnected   chan struct{} // receives a value when "watch" has seen the connection end
}

func newInstanceWorker(t testing.TB, id string) *instanceWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	w := &instanceWorker{id: id, listener: listener, unblock: make(chan struct{}), disconnected: make(chan struct{}, 8)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *instanceWorker) address() string { return w.listener.Addr().String() }

// next removes and returns the next behaviour of the script.
func (w *instanceWorker) next() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.script) == 0 {
		return ""
	}
	first := w.script[0]
	w.script = w.script[1:]
	return first
}

// setScript replaces the behaviours to come.
func (w *instanceWorker) setScript(behaviours ...string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.script = behaviours
}

func (w *instanceWorker) runs() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.ran)
}

// misdirectedCount returns the number of requests that were for another instance.
func (w *instanceWorker) misdirectedCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.misdirected
}

func (w *instanceWorker) isTarget(request *http.Request) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if request.Header.Get(testProtocol.TargetInstance) == w.id {
		return true
	}
	w.misdirected++
	return false
}

func (w *instanceWorker) record(request *http.Request, body string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ran = append(w.ran, request.Header.Get(testProtocol.RequestID))
	w.got = append(w.got, request)
	w.bodies = append(w.bodies, body)
}

// forget drops what the worker has recorded.
func (w *instanceWorker) forget() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ran, w.got, w.bodies = nil, nil, nil
}

func (w *instanceWorker) lastRequest() (*http.Request, string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.got[len(w.got)-1], w.bodies[len(w.bodies)-1]
}

func (w *instanceWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		behaviour := w.next()
		if behaviour == "early" { // responds before it has read the body, and reads no more
			w.record(request, "")
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Long\r\n%s\r\nContent-Length: 4\r\n\r\nlong", w.headers(request))
			<-w.unblock
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !w.behave(behaviour, conn, request, string(body)) {
			return
		}
	}
}

func (w *instanceWorker) headers(request *http.Request) string {
	return fmt.Sprintf("%s%s: %s\r\n%s: signed", w.ownResponseFields(), testProtocol.RequestID, request.Header.Get(testProtocol.RequestID), testProtocol.Signature)
}

// setResponseFields sets header lines for the worker's responses from now on, each with its line end.
func (w *instanceWorker) setResponseFields(fields string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.responseFields = fields
}

func (w *instanceWorker) ownResponseFields() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.responseFields
}

func bodyOfResponse(request *http.Request) string {
	return "answer to " + request.Header.Get(testProtocol.RequestID)
}

// behave responds to one request according to the behaviour; false closes the connection.
func (w *instanceWorker) behave(behaviour string, conn net.Conn, request *http.Request, body string) bool {
	text := bodyOfResponse(request)
	if !w.isTarget(request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if behaviour == "shed" {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", w.ownResponseFields(), testProtocol.NotExecuted)
		return true
	}
	w.record(request, body)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", w.headers(request), len(text), text)
	lateResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: signed\r\nContent-Length: 5\r\n\r\nother", testProtocol.RequestID, testProtocol.Signature)
	if status, own := strings.CutPrefix(behaviour, "status "); own { // a failure of its own, after the run
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Own\r\n%s\r\nContent-Length: 3\r\n\r\nown", status, w.headers(request))
		return true
	}
	switch behaviour {
	case "wait":
		<-w.unblock
	case "watch": // runs until the caller disconnects
		_, _ = conn.Read(make([]byte, 1))
		w.disconnected <- struct{}{}
		return false
	case "wait-error", "error":
		if behaviour == "wait-error" {
			<-w.unblock
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\n%s\r\nContent-Length: 5\r\n\r\nerror", w.headers(request))
		return true
	case "wait-close", "close":
		if behaviour == "wait-close" {
			<-w.unblock
		}
		return false
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case "garbage":
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return false
	case "unsigned":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")
		return true
	case "half":
		_, _ = io.WriteString(conn, whole[:len(whole)-4])
		return false
	case "late":
		_, _ = io.WriteString(conn, lateResponse+whole)
		return true
	case "late-thrice": // more than are skipped
		_, _ = io.WriteString(conn, strings.Repeat(lateResponse, maxForeignResponses+1)+whole)
		return true
	case "extra":
		_, _ = io.WriteString(conn, whole+lateResponse)
		return true
	case "unframed":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n%s", w.headers(request), text)
		return false
	case "unframed-reset":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n%s", w.headers(request), text[:4])
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, _ = io.WriteString(conn, whole)
	return true
}

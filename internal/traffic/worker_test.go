package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
)

// rawWorker is a fake worker that writes HTTP itself, so that it can violate the protocol. It
// counts each request that it runs in its journal before it responds. The query of a request sets
// its name (n) and the behaviour of the worker (do).
type rawWorker struct {
	listener net.Listener
	mutex    sync.Mutex
	journal  map[string]int
	ended    chan string // names of hanging requests whose connection was closed
}

func newRawWorker(t testing.TB) *rawWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	w := &rawWorker{listener: listener, journal: map[string]int{}, ended: make(chan string, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go w.accept()
	return w
}

func (w *rawWorker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

func (w *rawWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		behaviour := request.URL.Query().Get("do")
		if behaviour == "close-shed" && w.runs(request.URL.Query().Get("n")) > 0 {
			behaviour = "shed"
		}
		if behaviour != "shed" {
			w.record(request.URL.Query().Get("n"))
		}
		_, err = io.Copy(io.Discard, request.Body)
		if err != nil || !w.respond(behaviour, conn, reader, request) {
			return
		}
	}
}

func (w *rawWorker) record(name string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.journal[name]++
}

// runs returns how often the request ran.
func (w *rawWorker) runs(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.journal[name]
}

// ownBody returns the complete response body for the named request.
func ownBody(name string) string { return "answer to " + name }

// respond writes the response that the behaviour requires, or none. It returns false if the
// connection is to be closed.
func (w *rawWorker) respond(behaviour string, conn net.Conn, reader io.Reader, request *http.Request) bool {
	name := request.URL.Query().Get("n")
	text := ownBody(name)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	attempt := request.Header.Get(attemptHeader)
	switch behaviour {
	case "close", "close-shed":
		return false
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case "half":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:4])
		return false
	case "half-long":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, text)
		return false
	case "half-chunked":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n%s\r\n", text[:4])
		return false
	case "unframed":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", text[:4])
		return false
	case "foreign":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 5\r\n\r\nother", outcome.RequestID)
	case "foreign-hang":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", outcome.RequestID)
		_, _ = io.Copy(io.Discard, reader)
		w.ended <- name
		return false
	case "lie":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\n%s: not-run\r\nContent-Length: %d\r\n\r\n%s", outcome.Header, len(text), text)
	case "shed":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\n%s: not-run\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", outcome.Header, attemptHeader, attempt)
	case "hang":
		_, _ = io.Copy(io.Discard, reader)
		w.ended <- name
		return false
	default:
		_, _ = io.WriteString(conn, whole)
	}
	return true
}

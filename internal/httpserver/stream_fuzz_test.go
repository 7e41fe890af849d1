package httpserver

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"sliphead/internal/logging"
)

// runs notes what a handler was given, with whole bodies only.
type runs struct {
	mutex sync.Mutex
	seen  []string
}

func (r *runs) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seen = append(r.seen, fmt.Sprintf("%s %s %s %q", request.Method, request.Host, request.RequestURI, body))
	_, _ = writer.Write(body)
}

// carry sends bytes on one connection, leaves when nothing moves any more and returns
// what ran. It is called within a bubble of synctest.
func carry(t *testing.T, serve func(net.Listener, http.Handler) io.Closer, text []byte) []string {
	listener := &network{conns: make(chan net.Conn), closed: make(chan struct{})}
	ran := &runs{}
	server := serve(listener, ran)
	defer server.Close()
	near, far := net.Pipe()
	listener.conns <- far
	go func() { _, _ = io.Copy(io.Discard, near) }()
	_, _ = near.Write(text)
	synctest.Wait() // until all that is to run has run: a caller that leaves earlier ends the rest
	_ = near.Close()
	synctest.Wait()
	ran.mutex.Lock()
	defer ran.mutex.Unlock()
	return slices.Clone(ran.seen)
}

func serveOwn(listener net.Listener, handler http.Handler) io.Closer {
	server := &Server{Handler: handler, Logger: logging.Discard()}
	go func() { _ = server.Serve(listener) }()
	return server
}

func serveByLibrary(listener net.Listener, handler http.Handler) io.Closer {
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	return server
}

// FuzzStream holds the server against that of net/http: whatever comes, it runs
// what that one runs, in that order, or less.
func FuzzStream(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"\r\nGET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET http://y/a HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nhello",
		"GET /a HTTP/1.1\nHost: x\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var own, library []string
		synctest.Test(t, func(t *testing.T) { own = carry(t, serveOwn, text) })
		synctest.Test(t, func(t *testing.T) { library = carry(t, serveByLibrary, text) })
		must.LessEq(t, len(library), len(own))
		for index := range own {
			must.Eq(t, library[index], own[index])
		}
	})
}

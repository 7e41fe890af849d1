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

// recorder records the requests that a handler was given, only those with complete bodies.
type recorder struct {
	mutex    sync.Mutex
	requests []string
}

func (r *recorder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests = append(r.requests, fmt.Sprintf("%s %s %s %q", request.Method, request.Host, request.RequestURI, body))
	_, _ = writer.Write(body)
}

// exchange sends bytes on one connection, disconnects when all goroutines are blocked and
// returns the requests that ran. It is called within a synctest bubble.
func exchange(t *testing.T, serve func(net.Listener, http.Handler) io.Closer, text []byte) []string {
	listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ran := &recorder{}
	server := serve(listener, ran)
	defer server.Close()
	client, serverEnd := net.Pipe()
	listener.conns <- serverEnd
	go func() { _, _ = io.Copy(io.Discard, client) }()
	_, _ = client.Write(text)
	synctest.Wait() // until all requests have run: disconnecting earlier would cancel the rest
	_ = client.Close()
	synctest.Wait()
	ran.mutex.Lock()
	defer ran.mutex.Unlock()
	return slices.Clone(ran.requests)
}

func startServer(listener net.Listener, handler http.Handler) io.Closer {
	server := &Server{Handler: handler, Logger: logging.Discard()}
	go func() { _ = server.Serve(listener) }()
	return server
}

func startNetHTTP(listener net.Listener, handler http.Handler) io.Closer {
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	return server
}

// FuzzStream compares the server with that of net/http: on any input it runs the same requests
// in the same order, or a prefix of them.
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
		synctest.Test(t, func(t *testing.T) { own = exchange(t, startServer, text) })
		synctest.Test(t, func(t *testing.T) { library = exchange(t, startNetHTTP, text) })
		must.LessEq(t, len(library), len(own))
		for index := range own {
			must.Eq(t, library[index], own[index])
		}
	})
}

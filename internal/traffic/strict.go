package traffic

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"sliphead/internal/outcome"
)

// NewListener wraps a listener for a server of NewServer. Its connections note
// request headers that another program might read in another way, where
// net/http is lenient: a line feed without carriage return, and Content-Length
// together with Transfer-Encoding (RFC 9112, sections 2.2 and 6.3). The server
// then answers 400 and closes. A request that was pipelined behind another is
// not looked at; it is still read in one way and framed anew when forwarded.
func NewListener(inner net.Listener) net.Listener { return &strictListener{Listener: inner} }

type strictListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *strictListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strictConn{Conn: conn}, nil
}

// strictConn scans the header of each request as it is read.
type strictConn struct {
	net.Conn
	mutex sync.Mutex
	scan  headScan
}

// Read implements net.Conn.
func (c *strictConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scan.feed(buffer[:count])
	return count, err
}

// restart expects the next request's header.
func (c *strictConn) restart() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scan = headScan{}
}

func (c *strictConn) ambiguous() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.scan.bareFeed || c.scan.length && c.scan.coding
}

// headScan looks for what is ambiguous in a request's header.
type headScan struct {
	line     [scannedName]byte // start of the line, lower case
	length   bool              // Content-Length was seen
	coding   bool              // Transfer-Encoding was seen
	bareFeed bool
	done     bool
	started  bool // the request line has ended
	size     int  // bytes of the line, without its end
	last     byte
}

// scannedName is the length of the longest name looked for.
const scannedName = len("transfer-encoding")

func (h *headScan) feed(data []byte) {
	for _, b := range data {
		if h.done {
			return
		}
		h.add(b)
	}
}

func (h *headScan) add(b byte) {
	if b == '\n' {
		h.endLine()
		return
	}
	if b != '\r' {
		if h.size < scannedName {
			h.line[h.size] = lower(b)
		}
		h.size++
	}
	h.last = b
}

func (h *headScan) endLine() {
	h.bareFeed = h.bareFeed || h.last != '\r'
	h.length = h.length || h.named("content-length")
	h.coding = h.coding || h.named("transfer-encoding")
	h.done = h.size == 0 && h.started
	h.started = h.started || h.size > 0
	h.size = 0
	h.last = 0
}

func (h *headScan) named(name string) bool {
	return h.started && h.size > len(name) && bytes.HasPrefix(h.line[:], []byte(name))
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

type strictKey struct{}

// strictContext lets a handler find the connection of its request.
func strictContext(ctx context.Context, conn net.Conn) context.Context {
	if strict, ok := conn.(*strictConn); ok {
		return context.WithValue(ctx, strictKey{}, strict)
	}
	return ctx
}

// restartWhenIdle is a hook of http.Server.
func restartWhenIdle(conn net.Conn, state http.ConnState) {
	if strict, ok := conn.(*strictConn); ok && state == http.StateIdle {
		strict.restart()
	}
}

// refuseAmbiguous answers 400 to a request whose header was noted.
func refuseAmbiguous(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		strict, ok := request.Context().Value(strictKey{}).(*strictConn)
		if !ok || !strict.ambiguous() {
			handler.ServeHTTP(writer, request)
			return
		}
		header := newFields(writer.Header())
		header.set("Connection", "close")
		header.set(outcome.Header, string(outcome.NotRun))
		header.set(outcome.Remedy, "end lines with CR LF and send either Content-Length or Transfer-Encoding")
		writer.WriteHeader(http.StatusBadRequest)
	})
}

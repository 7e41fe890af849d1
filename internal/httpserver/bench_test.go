package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkDepth sends pipelined requests in groups, each group in one write, and reads their
// responses. The time includes the work of the client side.
func BenchmarkDepth(b *testing.B) {
	body := strings.Repeat("x", 1500)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header()["Content-Length"] = []string{"1500"}
		_, _ = io.WriteString(writer, body)
	})
	servers := map[string]func() interface {
		Serve(net.Listener) error
		Close() error
	}{
		"own": func() interface {
			Serve(net.Listener) error
			Close() error
		} {
			return &Server{Handler: handler, Safe: func(*http.Request) bool { return true }}
		},
		"library": func() interface {
			Serve(net.Listener) error
			Close() error
		} {
			return &http.Server{Handler: handler}
		},
	}
	for name, server := range servers {
		for _, depth := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("%s/depth=%d", name, depth), func(b *testing.B) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(b, err)
				serving := server()
				go func() { _ = serving.Serve(listener) }()
				defer serving.Close()
				exchangeGroups(b, listener.Addr().String(), depth)
			})
		}
	}
}

func exchangeGroups(b *testing.B, address string, depth int) {
	conn, err := net.Dial("tcp", address)
	must.NoError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	group := strings.Repeat("GET /lookup?n=1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 9c41d07be2a35f68\r\n\r\n", depth)
	b.ReportAllocs()
	for sent := 0; sent < b.N; sent += depth {
		_, err := io.WriteString(conn, group)
		must.NoError(b, err)
		for range depth {
			response, err := http.ReadResponse(reader, nil)
			must.NoError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
}

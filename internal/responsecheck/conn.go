package responsecheck

import (
	"context"
	"net"
)

// Conn is a client's connection whose responses are checked. Its requests must not be HEAD.
type Conn struct {
	net.Conn
	responses Checker
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) { return c.responses.Read(c.Conn, buffer) }

// Dialer opens connections, as net.Dialer does.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialContext returns a function that opens connections whose responses are checked, for a
// transport of net/http that sends no HEAD requests.
func DialContext(dialer Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

package transport

import (
	"context"
	"net"
)

// Network opens sockets. It can be replaced in tests to simulate delay, loss and cut
// connections. Implementations must be safe for concurrent use.
type Network interface {
	Listen(ctx context.Context, address string) (net.Listener, error)
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
	// Dial connects to address from the local IP from, from any when it is empty.
	Dial(ctx context.Context, from, address string) (net.Conn, error)
}

// System is the Network of the operating system: TCP and UDP.
type System struct{}

// Listen implements Network.
func (System) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// ListenPacket implements Network.
func (System) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(ctx, "udp", address)
}

// Dial implements Network.
func (System) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	var dialer net.Dialer
	if ip := net.ParseIP(from); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

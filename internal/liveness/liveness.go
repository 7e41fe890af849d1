// Package liveness opens TCP connections that detect an unresponsive peer, such as a machine
// that lost power, or a connection all of whose packets are dropped while new connections
// work. Only a timeout or a probe detects these, since no packet reports them.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// UnacknowledgedTimeout is how long sent bytes may wait for their acknowledgement before
	// the connection is reset. It is longer than a queue on a narrow link lasts.
	UnacknowledgedTimeout = 3 * time.Second
	// keepAliveIdle is the time without a packet after which the peer is probed. Probes of
	// idle connections cost bytes between zones, 80 each.
	keepAliveIdle = 3 * time.Second
	// keepAliveInterval is the time between two probes, and keepAliveCount the number of
	// unacknowledged probes after which the connection is reset.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive returns the TCP keep-alive configuration of the connections.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer of such connections. They are opened from the address local, or from
// any address if it is nil or unspecified.
func Dialer(local net.IP, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), ControlContext: controlContext}
	if local != nil && !local.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return dialer
}

// Listen listens for such connections at host:port. Accepted connections inherit the timeout
// for unacknowledged bytes from the listening socket.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: controlSocket}
	return config.Listen(ctx, "tcp", address)
}

func controlContext(_ context.Context, network, address string, socket syscall.RawConn) error {
	return controlSocket(network, address, socket)
}

func controlSocket(_, _ string, socket syscall.RawConn) error {
	var failure error
	if err := socket.Control(func(descriptor uintptr) { failure = setUnacknowledgedTimeout(descriptor) }); err != nil {
		return err
	}
	return failure
}

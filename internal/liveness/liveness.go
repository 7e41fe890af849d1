// Package liveness opens connections that notice when their other side is gone without
// a word: a machine that lost power, or a connection whose packets are dropped for good
// while new ones work. Nothing but a time-out or a probe of one's own shows that.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// Unacknowledged is for how long sent bytes may wait for their acknowledgement before
	// the connection is reset: longer than a queue on a narrow link lasts.
	Unacknowledged = 3 * time.Second
	// probeAfter is the time without a packet after which the other side is probed. Probes
	// of idle connections cost bytes between zones: 80 of them a probe.
	probeAfter = 3 * time.Second
	// probeEvery is the time between two probes, and probes how many may be lost.
	probeEvery = time.Second
	probes     = 2
)

// probing is how connections are probed.
func probing() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}
}

// Dialer returns a dialer of such connections from a local address, nil for any.
func Dialer(local net.IP, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: probing(), ControlContext: control}
	if local != nil && !local.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return dialer
}

// Listen listens for such connections at host:port. What is accepted takes the bound on
// unacknowledged bytes over from the listening socket.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probing(), Control: controlSocket}
	return config.Listen(ctx, "tcp", address)
}

func control(_ context.Context, network, address string, socket syscall.RawConn) error {
	return controlSocket(network, address, socket)
}

func controlSocket(_, _ string, socket syscall.RawConn) error {
	var failure error
	if err := socket.Control(func(descriptor uintptr) { failure = boundUnacknowledged(descriptor) }); err != nil {
		return err
	}
	return failure
}

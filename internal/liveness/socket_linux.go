package liveness

import "golang.org/x/sys/unix"

// setUnacknowledgedTimeout sets the TCP user timeout (RFC 5482) of a socket.
func setUnacknowledgedTimeout(descriptor uintptr) error {
	return unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedTimeout.Milliseconds()))
}

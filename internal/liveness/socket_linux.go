package liveness

import "golang.org/x/sys/unix"

// boundUnacknowledged sets the bound of RFC 5482 on a socket.
func boundUnacknowledged(descriptor uintptr) error {
	return unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Unacknowledged.Milliseconds()))
}

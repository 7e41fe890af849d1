//go:build !linux

package liveness

// setUnacknowledgedTimeout does nothing on systems whose sockets have no such timeout. There
// only keep-alive probes detect an unresponsive peer.
func setUnacknowledgedTimeout(uintptr) error { return nil }

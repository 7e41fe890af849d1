//go:build !unix

package traffic

import "net"

// rawProbe supports no connection, since sockets cannot be read without blocking here.
type rawProbe struct{}

func (rawProbe) prepare(net.Conn)               {}
func (rawProbe) isIdle() (idle, supported bool) { return false, false }

//go:build !unix

package traffic

import "net"

// rawProbe knows nothing where sockets cannot be read without waiting.
type rawProbe struct{}

func (rawProbe) prepare(net.Conn)           {}
func (rawProbe) quiet() (quiet, known bool) { return false, false }

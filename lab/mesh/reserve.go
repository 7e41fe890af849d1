package mesh

import (
	"net"

	"sliphead/internal/fault"
)

// The second octets that a mesh may take by itself. The advertised addresses
// lie advertisedOffset above.
const (
	firstOctet = 10
	lastOctet  = 99
)

// The address of the listener that reserves an octet for one mesh at a time.
const (
	reservationHost = 253
	reservationPort = 7999
)

// reserveOctet takes the wanted octet, or the first free one when it is 0, and
// returns what gives it back.
func reserveOctet(wanted int) (int, net.Listener, error) {
	first, last := wanted, wanted
	if wanted == 0 {
		first, last = firstOctet, lastOctet
	}
	for octet := first; octet <= last; octet++ {
		reservation := layout{octet: octet}.address(0, 0, reservationHost, reservationPort)
		if listener, err := net.Listen("tcp", reservation); err == nil {
			return octet, listener, nil
		}
	}
	return 0, nil, fault.New(fault.Settings, "end another lab, or give another --octet", "no free loopback octet from %d to %d", first, last)
}

package mesh

import (
	"net"

	"sliphead/internal/fault"
)

// The range of second octets from which a mesh selects a free one. The second
// octet of advertised addresses is higher by advertisedOffset.
const (
	firstOctet = 10
	lastOctet  = 99
)

// The address of the listener that reserves an octet for one mesh at a time.
const (
	reservationHost = 253
	reservationPort = 7999
)

// reserveOctet reserves the wanted octet, or the first free one if wanted is 0.
// Closing the returned listener releases it.
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
	return 0, nil, fault.New(fault.Settings, "stop another lab, or give another --octet", "no free loopback octet from %d to %d", first, last)
}

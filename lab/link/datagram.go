package link

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	datagramBytes    = 64 << 10
	datagramsWaiting = 4096 // on their way to one address; more are lost
)

// Datagrams forwards datagrams sent to advertised on to real, whose zone is
// given. It is one way: the receiver answers to the sender's advertised
// address, which its message names.
func (n *Network) Datagrams(advertised, real, zone string) error {
	target, err := netip.ParseAddrPort(real)
	if err != nil {
		return listenFailed(err, real)
	}
	local, err := netip.ParseAddrPort(advertised)
	if err != nil {
		return listenFailed(err, advertised)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return listenFailed(err, advertised)
	}
	n.onClose(func() { _ = socket.Close() })
	go n.relay(socket, target, zone)
	return nil
}

func (n *Network) relay(socket *net.UDPConn, target netip.AddrPort, zone string) {
	var waiting atomic.Int64
	buffer := make([]byte, datagramBytes)
	for {
		count, source, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		conditions := n.Of(Pair{From: n.zoneOf(source.Addr().Unmap()), To: zone})
		if n.loses(conditions) || waiting.Load() >= datagramsWaiting {
			n.counters.lost.Add(1)
			continue
		}
		data := append([]byte{}, buffer[:count]...)
		waiting.Add(1)
		time.AfterFunc(conditions.Delay, func() {
			defer waiting.Add(-1)
			if _, err := socket.WriteToUDPAddrPort(data, target); err != nil {
				n.counters.lost.Add(1)
				return
			}
			n.counters.datagrams.Add(1)
			n.counters.datagramBytes.Add(int64(len(data)))
		})
	}
}

func (n *Network) loses(conditions Conditions) bool {
	return conditions.Cut || conditions.Loss > 0 && n.random.float64() < conditions.Loss
}

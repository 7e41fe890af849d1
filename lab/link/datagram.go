package link

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	maxDatagramBytes    = 64 << 10
	maxDelayedDatagrams = 4096 // delayed datagrams to one address; further ones are dropped
)

// Datagrams forwards datagrams from the address advertised to the address real,
// which is in the given zone. It forwards in this direction only: the receiver
// replies to the advertised address of the sender, which the message contains.
func (n *Network) Datagrams(advertised, real, zone string) error {
	target, err := netip.ParseAddrPort(real)
	if err != nil {
		return listenError(err, real)
	}
	local, err := netip.ParseAddrPort(advertised)
	if err != nil {
		return listenError(err, advertised)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return listenError(err, advertised)
	}
	n.onClose(func() { _ = socket.Close() })
	go n.forwardDatagrams(socket, target, zone)
	return nil
}

func (n *Network) forwardDatagrams(socket *net.UDPConn, target netip.AddrPort, zone string) {
	var delayed atomic.Int64
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, source, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		conditions := n.ConditionsOf(Pair{From: n.zoneOf(source.Addr().Unmap()), To: zone})
		if n.drops(conditions) || delayed.Load() >= maxDelayedDatagrams {
			n.counters.lost.Add(1)
			continue
		}
		data := append([]byte{}, buffer[:count]...)
		delayed.Add(1)
		time.AfterFunc(conditions.Delay, func() {
			defer delayed.Add(-1)
			if _, err := socket.WriteToUDPAddrPort(data, target); err != nil {
				n.counters.lost.Add(1)
				return
			}
			n.counters.datagrams.Add(1)
			n.counters.datagramBytes.Add(int64(len(data)))
		})
	}
}

func (n *Network) drops(conditions Conditions) bool {
	return conditions.Cut || conditions.Loss > 0 && n.random.float64() < conditions.Loss
}

package fleet

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"sliphead/internal/sleep"
	"sliphead/internal/transport"
)

// network is the machine's loopback with delays and cuts between zones. A
// node's zone is the second octet of its address.
type network struct {
	plan *plan
	cut  atomic.Int32 // zone that is cut off, noZone for none
}

// noZone is no zone's number.
const noZone = -1

func newNetwork(plan *plan) *network {
	n := &network{plan: plan}
	n.cut.Store(noZone)
	return n
}

// from returns the network as one node sees it.
func (n *network) from(zone int) transport.Network { return &zoneNetwork{network: n, zone: zone} }

// severed reports whether two zones can't reach each other.
func (n *network) severed(a, b int) bool {
	cut := int(n.cut.Load())
	return a != b && (a == cut || b == cut)
}

// zoneNetwork is a network as seen from one zone.
type zoneNetwork struct {
	network *network
	zone    int
	system  transport.System
}

// Listen implements transport.Network.
func (z *zoneNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	return z.system.Listen(ctx, address)
}

// ListenPacket implements transport.Network.
func (z *zoneNetwork) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	conn, err := z.system.ListenPacket(ctx, address)
	if err != nil {
		return nil, err
	}
	return &delayedPackets{PacketConn: conn, zone: z}, nil
}

// Dial implements transport.Network. The dialer pays a round trip.
func (z *zoneNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	target := z.network.plan.zoneOf(address)
	delay := z.network.plan.delay(z.zone, target)
	if !sleep.For(ctx, 2*delay) {
		return nil, ctx.Err()
	}
	if z.network.severed(z.zone, target) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := z.system.Dial(ctx, from, address)
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: conn, zone: z, target: target, delay: delay}, nil
}

// delayedPackets delays and cuts outgoing datagrams.
type delayedPackets struct {
	net.PacketConn
	zone *zoneNetwork
}

// WriteTo implements net.PacketConn.
func (d *delayedPackets) WriteTo(data []byte, to net.Addr) (int, error) {
	target := d.zone.network.plan.zoneOf(to.String())
	if d.zone.network.severed(d.zone.zone, target) {
		return len(data), nil
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(d.zone.network.plan.delay(d.zone.zone, target), func() {
		_, _ = d.PacketConn.WriteTo(copied, to) // a lost datagram is what datagrams do
	})
	return len(data), nil
}

// delayedConn delays what the dialer writes. Streams between nodes carry
// messages from the dialer to the listener only.
type delayedConn struct {
	net.Conn
	zone   *zoneNetwork
	target int
	delay  time.Duration
}

// Write implements net.Conn. While the zones are cut it fails, as a stream does
// whose retransmissions are never answered.
func (d *delayedConn) Write(data []byte) (int, error) {
	time.Sleep(d.delay)
	if d.zone.network.severed(d.zone.zone, d.target) {
		_ = d.Close()
		return 0, net.ErrClosed
	}
	return d.Conn.Write(data)
}

// zoneOf returns the zone of a host:port.
func (p *plan) zoneOf(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return noZone
	}
	return int(parsed.Addr().Unmap().As4()[1]) - p.octet
}

package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"golang.org/x/time/rate"

	"sliphead/internal/fault"
	"sliphead/internal/sleep"
	"sliphead/internal/wire"
)

// datagramsPerSecond bounds what all peers together may cost this node: at 850
// nodes each gets a few probes a second, and a flood must not take the core.
const (
	datagramsPerSecond = 20000
	datagramBurst      = 20000
)

// SendDatagram sends a message by datagram, or drops and counts it.
func (t *Transport) SendDatagram(address string, envelope wire.Envelope) {
	if err := t.sendDatagram(address, envelope); err != nil {
		t.totals.dropped.Add(1)
		t.limiter.log("transport.datagramDropped", address, err)
	}
}

// sendDatagram encodes, seals and writes one message.
func (t *Transport) sendDatagram(address string, envelope wire.Envelope) error {
	packets := t.packets()
	if packets == nil {
		return nil
	}
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.Wrap(err, fault.Peer, "advertise an IP and a port", "the peer address %q is wrong", address)
	}
	line, err := wire.Encode(envelope)
	if err != nil {
		return err
	}
	sealed := t.credentials.seal(line)
	if len(sealed) > wire.MaxDatagramBytes {
		return fault.New(fault.Internal, "report this defect: the sender must bound its updates",
			"a %s datagram has %d bytes, more than %d", envelope.Kind(), len(sealed), wire.MaxDatagramBytes)
	}
	count, err := packets.WriteTo(sealed, net.UDPAddrFromAddrPort(target))
	if err != nil {
		return err
	}
	t.totals.datagramBytesSent.Add(uint64(count))
	t.totals.messagesSent.Add(1)
	return nil
}

// packets returns the open datagram socket, nil when Run is not running.
func (t *Transport) packets() net.PacketConn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.context == nil || t.context.Err() != nil {
		return nil
	}
	return t.datagrams
}

// readDatagrams delivers datagrams until ctx ends.
func (t *Transport) readDatagrams(ctx context.Context, packets net.PacketConn) error {
	buffer := make([]byte, wire.MaxDatagramBytes+1)
	limiter := rate.NewLimiter(datagramsPerSecond, datagramBurst)
	for {
		count, remote, err := packets.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(err, fault.Internal, "restart the node", "the peer datagram socket was closed")
		}
		if err != nil {
			t.limiter.log("transport.datagramRead", t.address, err)
			sleep.For(ctx, acceptPause)
			continue
		}
		t.totals.datagramBytesReceived.Add(uint64(count))
		if err := t.takeDatagram(buffer[:count], remote, limiter); err != nil {
			t.totals.datagramsRefused.Add(1)
			t.limiter.log("transport.datagramRefused", hostOf(remote.String()), err)
		}
	}
}

// takeDatagram checks and delivers one datagram.
func (t *Transport) takeDatagram(datagram []byte, remote net.Addr, limiter *rate.Limiter) error {
	if !limiter.Allow() {
		return refused(causeRate, fault.New(fault.Peer, "find out who floods the peer address", "more than %d datagrams a second", datagramsPerSecond))
	}
	if len(datagram) > wire.MaxDatagramBytes {
		return refused(causeTooLong, fault.New(fault.Peer, garbageRemedy, "a datagram has more than %d bytes", wire.MaxDatagramBytes))
	}
	line, err := t.credentials.unseal(datagram)
	if err != nil {
		return err
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return refused(causeGarbage, err)
	}
	if envelope.Ping == nil && envelope.PingReq == nil && envelope.Ack == nil && envelope.Gossip == nil {
		return refused(causeGarbage, fault.New(fault.Peer, garbageRemedy, "a %s message came by datagram", envelope.Kind()))
	}
	t.deliver(Received{Envelope: envelope, Remote: remote.String(), Bytes: len(datagram), Datagram: true})
	return nil
}

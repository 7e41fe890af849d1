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

// datagramsPerSecond limits the datagrams processed from all peers together. In a
// fleet of 850 nodes each node receives a few probes per second; a flood must not
// occupy the CPU core.
const (
	datagramsPerSecond = 20000
	datagramBurst      = 20000
)

// SendDatagram sends a message in one datagram. A message that cannot be sent is
// dropped, counted and logged. While Run is not running, it does nothing.
func (t *Transport) SendDatagram(address string, envelope wire.Envelope) {
	if err := t.sendDatagram(address, envelope); err != nil {
		t.totals.dropped.Add(1)
		t.limiter.log("transport.datagramDropped", address, err)
	}
}

// sendDatagram encodes and writes one message with its authentication code.
func (t *Transport) sendDatagram(address string, envelope wire.Envelope) error {
	packets := t.datagramSocket()
	if packets == nil {
		return nil
	}
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.Wrap(err, fault.Peer, "advertise an IP and a port", "the peer address %q is not an IP and a port", address)
	}
	line, err := wire.Encode(envelope)
	if err != nil {
		return err
	}
	sealed := t.credentials.appendTag(line)
	if len(sealed) > wire.MaxDatagramBytes {
		return fault.New(fault.Internal, "report this defect: the sender must limit its updates",
			"a %s datagram has %d bytes, more than the maximum of %d", envelope.Kind(), len(sealed), wire.MaxDatagramBytes)
	}
	count, err := packets.WriteTo(sealed, net.UDPAddrFromAddrPort(target))
	if err != nil {
		return err
	}
	t.totals.datagramBytesSent.Add(uint64(count))
	t.totals.messagesSent.Add(1)
	return nil
}

// datagramSocket returns the datagram socket, nil while Run is not running.
func (t *Transport) datagramSocket() net.PacketConn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.context == nil || t.context.Err() != nil {
		return nil
	}
	return t.datagrams
}

// readDatagrams receives and delivers datagrams until ctx ends.
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
		if err := t.handleDatagram(buffer[:count], remote, limiter); err != nil {
			t.totals.datagramsRefused.Add(1)
			t.limiter.log("transport.datagramRefused", hostOf(remote.String()), err)
		}
	}
}

// handleDatagram checks and delivers one datagram. Only probes and gossip are accepted.
func (t *Transport) handleDatagram(datagram []byte, remote net.Addr, limiter *rate.Limiter) error {
	if !limiter.Allow() {
		return withCause(causeRate, fault.New(fault.Peer, "find out which host floods the peer address", "more than %d datagrams per second", datagramsPerSecond))
	}
	if len(datagram) > wire.MaxDatagramBytes {
		return withCause(causeTooLong, fault.New(fault.Peer, protocolRemedy, "a datagram has more than %d bytes", wire.MaxDatagramBytes))
	}
	line, err := t.credentials.verifyTag(datagram)
	if err != nil {
		return err
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return withCause(causeGarbage, err)
	}
	if envelope.Ping == nil && envelope.PingReq == nil && envelope.Ack == nil && envelope.Gossip == nil {
		return withCause(causeGarbage, fault.New(fault.Peer, protocolRemedy, "received a %s message in a datagram, which is not allowed", envelope.Kind()))
	}
	t.deliver(Received{Envelope: envelope, Remote: remote.String(), Bytes: len(datagram), Datagram: true})
	return nil
}

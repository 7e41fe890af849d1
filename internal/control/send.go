package control

import (
	"sync/atomic"

	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// addressBook maps members' names to the addresses of their peer listeners. The loop
// writes it; reads are safe for concurrent use.
type addressBook struct {
	current atomic.Pointer[map[string]string]
}

func (b *addressBook) store(members []wire.Member) {
	byName := make(map[string]string, len(members))
	for _, member := range members {
		byName[member.Name] = member.Peer
	}
	b.current.Store(&byName)
}

func (b *addressBook) lookup(name string) string {
	return (*b.current.Load())[name]
}

// encodedPushCache caches the encoding of the last push, which is sent to several
// children in a row.
type encodedPushCache struct {
	push *wire.Push
	line []byte
}

func (e *encodedPushCache) encode(envelope wire.Envelope) ([]byte, error) {
	if envelope.Push != nil && envelope.Push == e.push {
		return e.line, nil
	}
	line, err := wire.Encode(envelope)
	if err == nil && envelope.Push != nil {
		e.push, e.line = envelope.Push, line
	}
	return line, err
}

// transmit passes a message to the transport. It looks up the address of the
// recipient if the message has none, and drops the message if there is none. The
// cache may be nil.
func (l *Loop) transmit(outgoing wire.Outgoing, lookup func(name string) string, cache *encodedPushCache) {
	outgoing.Message.From = l.config.Membership.Self.Name
	address := outgoing.Address
	if address == "" {
		address = lookup(outgoing.To)
	}
	if address == "" {
		return // not a live member; the protocols retry with another one
	}
	if outgoing.Datagram {
		l.config.Sender.SendDatagram(address, outgoing.Message)
		return
	}
	if cache == nil {
		cache = &encodedPushCache{}
	}
	line, err := cache.encode(outgoing.Message)
	if err != nil {
		logging.Problem(l.config.Logger, "message.unencodable", err, logging.Fields{"to": outgoing.To})
		return
	}
	l.config.Sender.SendEncoded(address, line)
}

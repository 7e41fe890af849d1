package control

import (
	"sync/atomic"

	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// addressBook maps members' names to the addresses of their peer listeners. The
// loop writes it; any goroutine may read it.
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

// encodedPush keeps the line of the push that was encoded last: a push goes to
// several children in a row and is encoded once for all.
type encodedPush struct {
	push *wire.Push
	line []byte
}

func (e *encodedPush) encode(envelope wire.Envelope) ([]byte, error) {
	if envelope.Push != nil && envelope.Push == e.push {
		return e.line, nil
	}
	line, err := wire.Encode(envelope)
	if err == nil && envelope.Push != nil {
		e.push, e.line = envelope.Push, line
	}
	return line, err
}

// transmit hands a message to the transport. lookup gives the address of a live
// member. The cache may be nil.
func (l *Loop) transmit(outgoing wire.Outgoing, lookup func(name string) string, cache *encodedPush) {
	outgoing.Message.From = l.config.Membership.Self.Name
	address := outgoing.Address
	if address == "" {
		address = lookup(outgoing.To)
	}
	if address == "" {
		return // the member is gone; the protocols ask somebody else in time
	}
	if outgoing.Datagram {
		l.config.Sender.SendDatagram(address, outgoing.Message)
		return
	}
	if cache == nil {
		cache = &encodedPush{}
	}
	line, err := cache.encode(outgoing.Message)
	if err != nil {
		logging.Problem(l.config.Logger, "message.unencodable", err, logging.Fields{"to": outgoing.To})
		return
	}
	l.config.Sender.SendEncoded(address, line)
}

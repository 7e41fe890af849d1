package wire

import (
	"encoding/json"

	"sliphead/internal/fault"
)

// Limits of the messages that a peer may send.
const (
	MaxLineBytes     = 8 << 20 // one message on a stream, including the newline
	MaxDatagramBytes = 1400    // one message in a datagram, including authentication
	MaxNameBytes     = 253     // a node's name, as long as a DNS name
)

const peerRemedy = "check that the peer runs a compatible version of sliphead and nothing else sends to this address"

// Encode returns the envelope as one line, including the newline. It returns an error for an
// envelope that Decode would reject.
func Encode(envelope Envelope) ([]byte, error) {
	if err := envelope.check(); err != nil {
		return nil, err
	}
	line, err := json.Marshal(envelope)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this defect", "encode a %s message", envelope.Kind())
	}
	line = append(line, '\n')
	if len(line) > MaxLineBytes {
		return nil, fault.New(fault.Declaration, "split the declarations or make them smaller",
			"a %s message has %d bytes, more than %d", envelope.Kind(), len(line), MaxLineBytes)
	}
	return line, nil
}

// Decode parses one line. It rejects lines that are too long, name no sender or do not hold
// exactly one message.
func Decode(line []byte) (Envelope, error) {
	if len(line) > MaxLineBytes {
		return Envelope{}, fault.New(fault.Peer, peerRemedy, "a message has more than %d bytes", MaxLineBytes)
	}
	var envelope Envelope
	if err := json.Unmarshal(line, &envelope); err != nil {
		return Envelope{}, fault.Wrap(err, fault.Peer, peerRemedy, "a message is not valid JSON")
	}
	if err := envelope.check(); err != nil {
		return Envelope{}, err
	}
	return envelope, nil
}

// check rejects an envelope without a sender or without exactly one message.
func (e *Envelope) check() error {
	if e.From == "" || len(e.From) > MaxNameBytes {
		return fault.New(fault.Peer, peerRemedy, "the sender's name in a message has %d bytes, not 1 to %d", len(e.From), MaxNameBytes)
	}
	if kinds := e.kinds(); len(kinds) != 1 {
		return fault.New(fault.Peer, peerRemedy, "a message from %q holds %d messages, not one", e.From, len(kinds))
	}
	return nil
}

// Kind returns the JSON name of the message, "" when there is none.
func (e *Envelope) Kind() string {
	if kinds := e.kinds(); len(kinds) > 0 {
		return kinds[0]
	}
	return ""
}

// kinds returns the JSON names of all messages in the envelope.
func (e *Envelope) kinds() []string {
	kinds := make([]string, 0, 1)
	add := func(name string, held bool) {
		if held {
			kinds = append(kinds, name)
		}
	}
	add("ping", e.Ping != nil)
	add("pingReq", e.PingReq != nil)
	add("ack", e.Ack != nil)
	add("gossip", e.Gossip != nil)
	add("hello", e.Hello != nil)
	add("busy", e.Busy != nil)
	add("sync", e.Sync != nil)
	add("push", e.Push != nil)
	add("pull", e.Pull != nil)
	add("staged", e.Staged != nil)
	add("accepted", e.Accepted != nil)
	add("resource", e.Resource != nil)
	add("claimRequest", e.ClaimRequest != nil)
	add("claimReply", e.ClaimReply != nil)
	add("claimCopy", e.ClaimCopy != nil)
	return kinds
}

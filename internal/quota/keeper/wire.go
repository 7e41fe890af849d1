package keeper

import (
	"encoding/json"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/quota"
)

// Bounds on received messages.
const (
	maxDatagram  = 2 << 10     // bytes; the name of the tenant is the long part
	maxTokens    = 1000        // tokens
	maxReplyWait = time.Minute // of a reply
)

// wireMessage is a message between nodes: one line of JSON in one datagram, 20 to 60 bytes plus
// the tenant's name. The keys are short because a node sends a reply for most requests.
type wireMessage struct {
	Query    *uint32 `json:"q,omitempty"` // id of a query
	Reply    *uint32 `json:"a,omitempty"` // id of the query that is replied to
	Cancel   *uint32 `json:"d,omitempty"` // id of a query whose reply will not be used
	Tenant   string  `json:"t,omitempty"`
	Tokens   int     `json:"n,omitempty"` // requested, granted or returned
	Wait     int64   `json:"w,omitempty"` // milliseconds, rounded up
	NoStripe bool    `json:"x,omitempty"` // the sender has no stripe of the tenant
}

// idCount returns the number of ids that are set.
func (w *wireMessage) idCount() int {
	count := 0
	for _, id := range []*uint32{w.Query, w.Reply, w.Cancel} {
		if id != nil {
			count++
		}
	}
	return count
}

// encode returns the line for a message.
func encode(message quota.Message) ([]byte, error) {
	wire := wireMessage{Tenant: message.Tenant, Tokens: message.Tokens, NoStripe: message.NoStripe}
	wire.Wait = int64((message.Wait + time.Millisecond - 1) / time.Millisecond)
	switch message.Kind {
	case quota.Query:
		wire.Query = &message.ID
	case quota.Reply:
		wire.Reply = &message.ID
	case quota.Cancel:
		wire.Cancel = &message.ID
	}
	line, err := json.Marshal(wire)
	return append(line, '\n'), err
}

// decode parses a line. It returns an error if the line is not exactly one kind of message or a
// value is out of bounds.
func decode(line []byte) (quota.Message, error) {
	const remedy = "find the sender of the datagrams to the quota port, it is not a node of this release"
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		return quota.Message{}, fault.Wrap(err, fault.Peer, remedy, "decode quota datagram")
	}
	message := quota.Message{Tenant: wire.Tenant, Tokens: wire.Tokens, NoStripe: wire.NoStripe, Wait: time.Duration(wire.Wait) * time.Millisecond}
	if wire.Tokens < 0 || wire.Tokens > maxTokens || wire.Wait < 0 || wire.Wait > maxReplyWait.Milliseconds() {
		return quota.Message{}, fault.New(fault.Peer, remedy, "quota message out of bounds: %d tokens, wait of %d ms", wire.Tokens, wire.Wait)
	}
	isRequest := wire.Tenant != "" && wire.Tokens > 0
	switch ids := wire.idCount(); {
	case ids == 0 && isRequest:
		message.Kind = quota.Return
	case ids != 1:
	case wire.Query != nil && isRequest:
		message.Kind, message.ID = quota.Query, *wire.Query
	case wire.Reply != nil:
		message.Kind, message.ID = quota.Reply, *wire.Reply
	case wire.Cancel != nil:
		message.Kind, message.ID = quota.Cancel, *wire.Cancel
	}
	if message.Kind == 0 {
		return quota.Message{}, fault.New(fault.Peer, remedy, "quota message is not a query, reply, cancellation or return")
	}
	return message, nil
}

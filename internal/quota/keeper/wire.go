package keeper

import (
	"encoding/json"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/quota"
)

// Bounds of what is read.
const (
	mostDatagram = 2 << 10     // bytes; names of tenants are the long part
	mostCount    = 1000        // tokens
	mostWait     = time.Minute // told by an answer
)

// wireMessage is a message between nodes: one line of JSON in one datagram, 20 to 60 bytes
// beside the tenant's name. A node answers one for most requests, so that keys are short.
type wireMessage struct {
	Question *uint32 `json:"q,omitempty"` // id of a question
	Answer   *uint32 `json:"a,omitempty"` // id of the question that is answered
	Withdraw *uint32 `json:"d,omitempty"` // id of a question whose answer will not be used
	Tenant   string  `json:"t,omitempty"`
	Tokens   int     `json:"n,omitempty"` // wanted, granted or returned
	Wait     int64   `json:"w,omitempty"` // milliseconds, rounded up
	None     bool    `json:"x,omitempty"` // no stripe here
}

// ids is how many of the ids are there.
func (w *wireMessage) ids() int {
	count := 0
	for _, id := range []*uint32{w.Question, w.Answer, w.Withdraw} {
		if id != nil {
			count++
		}
	}
	return count
}

// encode returns the line of a message.
func encode(message quota.Message) ([]byte, error) {
	wire := wireMessage{Tenant: message.Tenant, Tokens: message.Tokens, None: message.None}
	wire.Wait = int64((message.Wait + time.Millisecond - 1) / time.Millisecond)
	switch message.Kind {
	case quota.Question:
		wire.Question = &message.ID
	case quota.Answer:
		wire.Answer = &message.ID
	case quota.Withdrawal:
		wire.Withdraw = &message.ID
	}
	line, err := json.Marshal(wire)
	return append(line, '\n'), err
}

// decode reads a line.
func decode(line []byte) (quota.Message, error) {
	const remedy = "find out who sends to the quota port, it is no node of this release"
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		return quota.Message{}, fault.Wrap(err, fault.Peer, remedy, "a datagram is no message")
	}
	message := quota.Message{Tenant: wire.Tenant, Tokens: wire.Tokens, None: wire.None, Wait: time.Duration(wire.Wait) * time.Millisecond}
	if wire.Tokens < 0 || wire.Tokens > mostCount || wire.Wait < 0 || wire.Wait > mostWait.Milliseconds() {
		return quota.Message{}, fault.New(fault.Peer, remedy, "a message has %d tokens and a wait of %d ms", wire.Tokens, wire.Wait)
	}
	isRequest := wire.Tenant != "" && wire.Tokens > 0
	switch ids := wire.ids(); {
	case ids == 0 && isRequest:
		message.Kind = quota.Return
	case ids != 1:
	case wire.Question != nil && isRequest:
		message.Kind, message.ID = quota.Question, *wire.Question
	case wire.Answer != nil:
		message.Kind, message.ID = quota.Answer, *wire.Answer
	case wire.Withdraw != nil:
		message.Kind, message.ID = quota.Withdrawal, *wire.Withdraw
	}
	if message.Kind == 0 {
		return quota.Message{}, fault.New(fault.Peer, remedy, "a message is no question, answer, withdrawal or return")
	}
	return message, nil
}

package keeper

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/quarantine"
)

// mostDatagram bounds what is read of one datagram, in bytes. Messages are made to fit
// into 1,200; ids of instances may be longer than usual.
const mostDatagram = 8 << 10

// sumBase is the base in which sums are written: JSON numbers don't hold 64 bits.
const sumBase = 16

// wireMessage is a message between nodes: one line of JSON in one datagram.
type wireMessage struct {
	From    string       `json:"from"` // IP address by which the sender is reached
	Sum     string       `json:"sum"`
	Ask     bool         `json:"ask,omitempty"`
	Answer  bool         `json:"answer,omitempty"`
	Records []wireRecord `json:"records,omitempty"`
}

// wireRecord is a record. It tells its age, since nodes' clocks differ.
type wireRecord struct {
	Fingerprint  quarantine.Fingerprint `json:"f"`
	Kind         quarantine.Kind        `json:"k"`
	Generation   uint32                 `json:"g,omitempty"`
	Source       string                 `json:"s"`
	Milliseconds int64                  `json:"a"` // its age
}

// encode returns the line of a message that is sent now.
func encode(message quarantine.Message, now time.Time) ([]byte, error) {
	wire := wireMessage{From: message.From, Sum: strconv.FormatUint(message.Sum, sumBase), Ask: message.Ask, Answer: message.Answer}
	for _, record := range message.Records {
		wire.Records = append(wire.Records, wireRecord{
			Fingerprint: record.Fingerprint, Kind: record.Kind, Generation: record.Generation, Source: record.Source,
			Milliseconds: now.Sub(record.At).Milliseconds(),
		})
	}
	line, err := json.Marshal(wire)
	return append(line, '\n'), err
}

// decode reads a line that has come now.
func decode(line []byte, now time.Time) (quarantine.Message, error) {
	const remedy = "find out who sends to the peer port, it is no node of this release"
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		return quarantine.Message{}, fault.Wrap(err, fault.Peer, remedy, "a datagram is no message")
	}
	sum, err := strconv.ParseUint(wire.Sum, sumBase, 64)
	if err != nil || net.ParseIP(wire.From) == nil {
		return quarantine.Message{}, fault.New(fault.Peer, remedy, "a message has sum %q and comes from %q", wire.Sum, wire.From)
	}
	message := quarantine.Message{From: wire.From, Sum: sum, Ask: wire.Ask, Answer: wire.Answer}
	for _, record := range wire.Records {
		message.Records = append(message.Records, quarantine.Record{
			Fingerprint: record.Fingerprint, Kind: record.Kind, Generation: record.Generation, Source: record.Source,
			At: now.Add(-time.Duration(max(0, record.Milliseconds)) * time.Millisecond),
		})
	}
	return message, nil
}

package keeper

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/quarantine"
)

// maxDatagram bounds a received datagram, in bytes. Messages are built to fit into 1,200 bytes,
// but instance ids may be longer than usual.
const maxDatagram = 8 << 10

// sumBase is the base in which sums are written as text, since JSON numbers can't represent all
// 64-bit integers.
const sumBase = 16

// wireMessage is a message between nodes: one line of JSON in one datagram.
type wireMessage struct {
	From           string       `json:"from"` // IP address by which other nodes reach the sender
	Sum            string       `json:"sum"`
	RequestRecords bool         `json:"ask,omitempty"`
	IsReply        bool         `json:"answer,omitempty"`
	Records        []wireRecord `json:"records,omitempty"`
}

// wireRecord is a record. It contains the record's age instead of its time, since the clocks of
// nodes differ.
type wireRecord struct {
	Fingerprint quarantine.Fingerprint `json:"f"`
	Kind        quarantine.Kind        `json:"k"`
	Generation  uint32                 `json:"g,omitempty"`
	Source      string                 `json:"s"`
	AgeMS       int64                  `json:"a"` // age of the record
}

// encode returns the line for a message that is sent now.
func encode(message quarantine.Message, now time.Time) ([]byte, error) {
	wire := wireMessage{From: message.From, Sum: strconv.FormatUint(message.Sum, sumBase), RequestRecords: message.RequestRecords, IsReply: message.IsReply}
	for _, record := range message.Records {
		wire.Records = append(wire.Records, wireRecord{
			Fingerprint: record.Fingerprint, Kind: record.Kind, Generation: record.Generation, Source: record.Source,
			AgeMS: now.Sub(record.At).Milliseconds(),
		})
	}
	line, err := json.Marshal(wire)
	return append(line, '\n'), err
}

// decode parses a line that was received now. It returns an error if it is not a message.
func decode(line []byte, now time.Time) (quarantine.Message, error) {
	const remedy = "find the sender of the datagrams to the peer port, it is not a node of this release"
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		return quarantine.Message{}, fault.Wrap(err, fault.Peer, remedy, "decode quarantine datagram")
	}
	sum, err := strconv.ParseUint(wire.Sum, sumBase, 64)
	if err != nil || net.ParseIP(wire.From) == nil {
		return quarantine.Message{}, fault.New(fault.Peer, remedy, "quarantine message has invalid sum %q or sender %q", wire.Sum, wire.From)
	}
	message := quarantine.Message{From: wire.From, Sum: sum, RequestRecords: wire.RequestRecords, IsReply: wire.IsReply}
	for _, record := range wire.Records {
		message.Records = append(message.Records, quarantine.Record{
			Fingerprint: record.Fingerprint, Kind: record.Kind, Generation: record.Generation, Source: record.Source,
			At: now.Add(-time.Duration(max(0, record.AgeMS)) * time.Millisecond),
		})
	}
	return message, nil
}

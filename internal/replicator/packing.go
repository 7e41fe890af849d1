package replicator

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/klauspost/compress/flate"

	"sliphead/internal/catalog"
	"sliphead/internal/fault"
)

// packAbove is the length of an encoded batch, in bytes, above which it is
// compressed: a configuration of many routes shrinks to about a tenth.
const packAbove = 1 << 10

// maxBatch bounds an unpacked batch, in bytes.
const maxBatch = 64 << 20

// packedNews is the wire form of news: one line of JSON. Exactly one of Batch
// and Packed is set.
type packedNews struct {
	Batch     json.RawMessage `json:"batch,omitempty"`
	Packed    []byte          `json:"packed,omitempty"` // the batch as JSON, deflated
	Age       int64           `json:"age"`              // in nanoseconds
	Reader    string          `json:"reader,omitempty"`
	Serial    uint64          `json:"serial,omitempty"` // of the reader's question
	Preferred []string        `json:"preferred,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (n news) MarshalJSON() ([]byte, error) {
	batch, err := json.Marshal(n.Batch)
	if err != nil {
		return nil, err
	}
	wire := packedNews{Age: int64(n.Age), Reader: n.Reader, Serial: n.Serial, Preferred: n.Preferred}
	if len(batch) <= packAbove {
		wire.Batch = batch
	} else if wire.Packed, err = pack(batch); err != nil {
		return nil, err
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *news) UnmarshalJSON(line []byte) error {
	var wire packedNews
	if err := json.Unmarshal(line, &wire); err != nil {
		return err
	}
	n.Age = time.Duration(wire.Age)
	n.Reader = wire.Reader
	n.Serial = wire.Serial
	n.Preferred = wire.Preferred
	batch := []byte(wire.Batch)
	if wire.Packed != nil {
		unpacked, err := unpack(wire.Packed)
		if err != nil {
			return err
		}
		batch = unpacked
	}
	n.Batch = catalog.Batch{}
	return json.Unmarshal(batch, &n.Batch)
}

func pack(plain []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	err = writer.Close()
	return packed.Bytes(), err
}

func unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxBatch+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxBatch {
		return nil, fault.New(fault.Peer, "find out who runs at the address that is followed", "a batch is longer than %d bytes", maxBatch)
	}
	return plain, nil
}

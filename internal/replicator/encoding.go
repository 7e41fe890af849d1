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

// compressAbove is the length of an encoded batch, in bytes, above which it is compressed: a
// configuration of many routes shrinks to about a tenth.
const compressAbove = 1 << 10

// maxBatchBytes bounds a decompressed batch, in bytes.
const maxBatchBytes = 64 << 20

// packedUpdate is the wire form of an update: one line of JSON. Exactly one of Batch and Packed
// is set.
type packedUpdate struct {
	Batch     json.RawMessage `json:"batch,omitempty"`
	Packed    []byte          `json:"packed,omitempty"` // the batch as JSON, compressed with DEFLATE
	Age       int64           `json:"age"`              // in nanoseconds
	Reader    string          `json:"reader,omitempty"`
	Serial    uint64          `json:"serial,omitempty"` // of the reader's poll
	Preferred []string        `json:"preferred,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (u update) MarshalJSON() ([]byte, error) {
	batch, err := json.Marshal(u.Batch)
	if err != nil {
		return nil, err
	}
	wire := packedUpdate{Age: int64(u.Age), Reader: u.Reader, Serial: u.Serial, Preferred: u.Preferred}
	if len(batch) <= compressAbove {
		wire.Batch = batch
	} else if wire.Packed, err = compress(batch); err != nil {
		return nil, err
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
func (u *update) UnmarshalJSON(line []byte) error {
	var wire packedUpdate
	if err := json.Unmarshal(line, &wire); err != nil {
		return err
	}
	u.Age = time.Duration(wire.Age)
	u.Reader = wire.Reader
	u.Serial = wire.Serial
	u.Preferred = wire.Preferred
	batch := []byte(wire.Batch)
	if wire.Packed != nil {
		unpacked, err := decompress(wire.Packed)
		if err != nil {
			return err
		}
		batch = unpacked
	}
	u.Batch = catalog.Batch{}
	return json.Unmarshal(batch, &u.Batch)
}

func compress(plain []byte) ([]byte, error) {
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

func decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxBatchBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxBatchBytes {
		return nil, fault.New(fault.Peer, "check which process listens at the address of the followed node", "batch exceeds %d bytes", maxBatchBytes)
	}
	return plain, nil
}

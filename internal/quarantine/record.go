package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a record tells of a request.
type Kind string

// The kinds of records.
const (
	Crashed  Kind = "crashed"  // a worker ended while it ran the request
	Tried    Kind = "tried"    // a request that was held was sent to one worker, as a trial
	Released Kind = "released" // the request was answered by a worker, or let go by an operator
)

// valid reports whether the kind is known.
func (k Kind) valid() bool { return k == Crashed || k == Tried || k == Released }

// Record is one observation. Two of one fingerprint, kind, generation and source are the
// same one, by whatever way they came.
type Record struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Generation counts how often the request was released, from 0. What was observed in
	// a generation counts for nothing once it is closed by a release, so that the order in
	// which nodes hear of an end and of a release doesn't matter, nor do their clocks.
	Generation uint32
	Source     string // id of the instance that ended, ran the trial or answered, or who let the request go
	At         time.Time
}

// identity is a digest of what makes a record one and the same.
func (r *Record) identity() uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(r.Fingerprint[:]) // a hash returns no error
	_, _ = digest.WriteString(string(r.Kind))
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, r.Generation))
	if r.Kind != Released {
		_, _ = digest.WriteString(r.Source)
	}
	return digest.Sum64()
}

// Owner returns the instance that may run the trials of a request: the first by rendezvous
// hash, "" if there is none. Nodes that know of the same instances name the same one, so
// that no two of them try a request at a time.
func Owner(f Fingerprint, instances []string) string {
	owner, highest := "", uint64(0)
	for _, instance := range instances {
		digest := xxhash.New()
		_, _ = digest.Write(f[:]) // a hash returns no error
		_, _ = digest.WriteString(instance)
		rank := digest.Sum64()
		if owner == "" || rank > highest || rank == highest && instance < owner {
			owner, highest = instance, rank
		}
	}
	return owner
}

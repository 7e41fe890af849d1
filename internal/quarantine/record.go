package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	Crashed  Kind = "crashed"  // a worker crashed while it ran the request
	Tried    Kind = "tried"    // one copy of the held request was sent to a worker as a trial
	Released Kind = "released" // a worker responded to the request, or an operator released it
)

// valid reports whether the kind is one of these.
func (k Kind) valid() bool { return k == Crashed || k == Tried || k == Released }

// Record is one observation. Records with the same fingerprint, kind, generation and source are
// the same record.
type Record struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Generation is the number of releases of the request before the record. Records of a
	// generation have no effect once a release has ended it, so that neither the order in which
	// nodes receive crashes and releases nor their clocks matter.
	Generation uint32
	Source     string // id of the instance that crashed, ran the trial or responded, or the name of the operator
	At         time.Time
}

// identity returns a digest of the fields that identify a record. A release is identified
// without its source, since any release ends the generation.
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

// Owner returns the instance that may run the trials of a request, chosen by rendezvous
// hashing; "" if there are no instances. Nodes with the same instances choose the same one, so
// that no two of them run a trial at the same time.
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

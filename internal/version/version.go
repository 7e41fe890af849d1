// Package version defines the total order of configuration versions. Two nodes merge their
// state by taking the greater version, so updates that arrive late, twice or out of order
// converge without an agreement protocol.
package version

import (
	"cmp"
	"fmt"
)

// Version is a point in the total order of configuration versions.
type Version struct {
	// Epoch is raised by operators to recover from a source that was restored from an old
	// copy. It is compared first.
	Epoch uint64 `json:"epoch"`
	// Revision is the source's counter of changes.
	Revision uint64 `json:"revision"`
	// Digest is the hexadecimal digest of the content. A source that sends two contents for
	// the same epoch and revision equivocates: the greater digest takes precedence on every
	// node.
	Digest string `json:"digest,omitempty"`
}

// Compare returns -1, 0 or +1 as v is before, equal to or after w.
func (v Version) Compare(w Version) int {
	return cmp.Or(
		cmp.Compare(v.Epoch, w.Epoch),
		cmp.Compare(v.Revision, w.Revision),
		cmp.Compare(v.Digest, w.Digest),
	)
}

// After reports whether v is strictly newer than w.
func (v Version) After(w Version) bool { return v.Compare(w) > 0 }

// IsZero reports whether v is the version of a node that has no configuration yet.
func (v Version) IsZero() bool { return v == Version{} }

// Conflicts reports whether the source sent different contents for the same epoch and
// revision.
func (v Version) Conflicts(w Version) bool {
	return v.Epoch == w.Epoch && v.Revision == w.Revision && v.Digest != w.Digest
}

// Max returns the newer of two versions.
func Max(v, w Version) Version {
	if w.After(v) {
		return w
	}
	return v
}

// String returns epoch.revision-digest with the digest cut to eight digits.
func (v Version) String() string {
	const shown = 8
	digest := v.Digest
	if len(digest) > shown {
		digest = digest[:shown]
	}
	return fmt.Sprintf("%d.%d-%s", v.Epoch, v.Revision, digest)
}

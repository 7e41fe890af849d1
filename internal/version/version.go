// Package version orders configuration versions. The order is total, so
// joining two nodes' knowledge is taking the greater version, and updates that
// arrive late, twice or crossed need no agreement protocol to converge.
package version

import (
	"cmp"
	"fmt"
)

// Version is a point in the total order of configuration versions.
type Version struct {
	// Epoch is raised by operators to recover from a source that was restored
	// from an old copy. It is compared first.
	Epoch uint64 `json:"epoch"`
	// Revision is the source's own count of changes.
	Revision uint64 `json:"revision"`
	// Digest is the hexadecimal digest of the content. Two contents under one
	// epoch and revision mean a source that equivocates: the greater digest
	// wins on every node alike.
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

// IsZero reports whether v is the version of a node that holds nothing.
func (v Version) IsZero() bool { return v == Version{} }

// Conflicts reports whether the source gave two contents for one revision.
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

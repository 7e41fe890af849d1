package catalog

import "cmp"

// Point is a moment in the life of the store. Revisions order what it says within an era
// alone: a store that comes back from an older copy of itself begins an era, and gives out
// the revisions since that copy anew, for other changes. Whatever is compared to tell older
// from newer is a Point, or a revision of an era that is known to be the same.
type Point struct {
	Era      uint64 `json:"era,omitempty"` // 0: the store tells none
	Revision uint64 `json:"revision"`      // 0: nothing is known
}

// Compare returns -1, 0 or 1 as p is before, at or after another point.
func (p Point) Compare(other Point) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Position is what a node holds: the point of the store up to which it knows everything,
// and the version of its configuration; 0 for none.
type Position struct {
	Point
	Version uint64 `json:"version"`
}

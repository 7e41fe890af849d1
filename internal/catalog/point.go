package catalog

import "cmp"

// Point is a point in the history of the store. Revisions are ordered only within an era: when
// the store is restored from an older backup, a new era begins, in which the revisions after that
// backup are assigned again to other changes. To decide which of two states is newer, compare
// Points, or revisions that are known to be of the same era.
type Point struct {
	Era      uint64 `json:"era,omitempty"` // 0: unknown
	Revision uint64 `json:"revision"`      // 0: nothing is known
}

// Compare returns -1, 0 or 1 if p is before, equal to or after another point.
func (p Point) Compare(other Point) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Position is the state of a node's catalog: the point of the store up to which it is complete,
// and the version of its configuration, 0 for none.
type Position struct {
	Point
	Version uint64 `json:"version"`
}

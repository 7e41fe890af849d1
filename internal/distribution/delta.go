package distribution

import (
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// deltaKey identifies a delta.
type deltaKey struct{ from, to version.Version }

// deltaCache shares one push among all receivers of a delta, so that it is
// computed and encoded once. It also counts full sets for their rate limit.
type deltaCache struct {
	pushes          map[deltaKey]*wire.Push
	fullWindowStart time.Time // start of the second in which full sets are counted
	fullCount       int       // full sets in that second, allowed or not
}

func newDeltaCache() deltaCache { return deltaCache{pushes: make(map[deltaKey]*wire.Push)} }

// push returns the push of the delta from one set to another, or of the full
// set if that is smaller.
func (c *deltaCache) push(from, to *snapshot.Set) *wire.Push {
	key := deltaKey{from.Version(), to.Version()}
	if push, known := c.pushes[key]; known {
		return push
	}
	if len(c.pushes) >= maxDeltas {
		clear(c.pushes)
	}
	push := &wire.Push{Delta: smallestDelta(from, to)}
	c.pushes[key] = push
	return push
}

// smallestDelta returns the delta between the sets, or the full target set if
// that is smaller.
func smallestDelta(from, to *snapshot.Set) snapshot.Delta {
	delta := snapshot.Diff(from, to)
	if len(delta.Put)+len(delta.Remove) > to.Len() {
		return snapshot.Diff(snapshot.Empty(), to)
	}
	return delta
}

// allowFullSet counts a full set and reports whether it may be sent.
func (c *deltaCache) allowFullSet(now time.Time, limit int) bool {
	if now.Sub(c.fullWindowStart) >= time.Second {
		c.fullWindowStart, c.fullCount = now, 0
	}
	c.fullCount++
	return c.fullCount <= limit
}

package distribution

import (
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// span names a delta.
type span struct{ from, to version.Version }

// deltaCache shares one push among all receivers of a delta, so that it is made
// and encoded once.
type deltaCache struct {
	pushes  map[span]*wire.Push
	wholeAt time.Time // start of the second in which whole sets are counted
	wholes  int
}

func newDeltaCache() deltaCache { return deltaCache{pushes: make(map[span]*wire.Push)} }

// repairPush returns the push that leads from one set to another, or a whole
// set where that is smaller.
func (c *deltaCache) repairPush(from, to *snapshot.Set) *wire.Push {
	key := span{from.Version(), to.Version()}
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

func smallestDelta(from, to *snapshot.Set) snapshot.Delta {
	delta := snapshot.Diff(from, to)
	if len(delta.Put)+len(delta.Remove) > to.Len() {
		return snapshot.Diff(snapshot.Empty(), to)
	}
	return delta
}

// allowWhole counts whole sets and reports whether one more may be sent.
func (c *deltaCache) allowWhole(now time.Time, limit int) bool {
	if now.Sub(c.wholeAt) >= time.Second {
		c.wholeAt, c.wholes = now, 0
	}
	c.wholes++
	return c.wholes <= limit
}

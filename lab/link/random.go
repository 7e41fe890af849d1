package link

import (
	"math/rand/v2"
	"sync"
)

// lockedRandom is a seeded source of random numbers that is safe for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{source: rand.New(rand.NewPCG(seed, seed))}
}

func (r *lockedRandom) float64() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Float64()
}

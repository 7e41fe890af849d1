package traffic

import "time"

// Some workers forget a connection that has rested, sooner than they say and
// without a word: what is sent on it next is reset, and may not be sent again
// when it must not run twice. After such a reset, connections to that address
// that have rested for long are not used for a while.

const (
	leastRest     = 100 * time.Millisecond // shorter rests don't explain a reset
	restShare     = 2                      // part of the rest that met a reset which is trusted from then on
	remembersRest = 10 * time.Second       // how long after a reset
)

// restLimit is how long connections to an address may have rested, for a time.
type restLimit struct {
	most  time.Duration
	until time.Time
}

// noteForgotten notes that the other side knew nothing of a connection after it
// had rested.
func (p *pool) noteForgotten(address string, rested time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rests == nil {
		p.rests = map[string]restLimit{}
	}
	limit := restLimit{most: rested / restShare, until: now.Add(remembersRest)}
	if held := p.rests[address]; now.Before(held.until) {
		limit.most = min(limit.most, held.most)
	}
	p.rests[address] = limit
}

// remembered reports whether the other side is taken to remember a connection
// that has rested for a time.
func (p *pool) remembered(address string, rested time.Duration, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit, held := p.rests[address]
	if held && !now.Before(limit.until) {
		delete(p.rests, address)
		return true
	}
	return !held || rested <= limit.most
}

// noteReset tells the pool of a failed exchange if the connection had rested and
// nothing has come on it since.
func (c *pooledConn) noteReset() {
	forgotten := c.rested >= leastRest && c.received.Load() == c.heard && !c.isSilent()
	if forgotten {
		c.pool.noteForgotten(c.address, c.rested, time.Now())
	}
}

package traffic

import "time"

// Some workers drop idle connections earlier than they announce and without closing them: the
// next request on such a connection is reset, and cannot be sent again if it must not run
// twice. After such a reset, connections to that address that have been idle for long are not
// used for a while.

const (
	minResetIdle     = 100 * time.Millisecond // shorter idle times don't explain a reset
	idleLimitDivisor = 2                      // of the idle time before a reset: the new limit
	idleLimitTTL     = 10 * time.Second       // how long a limit applies after a reset
)

// idleLimit is the maximum idle time of connections to an address, and until when it applies.
type idleLimit struct {
	longest time.Duration
	until   time.Time
}

// recordIdleReset records that the other side had dropped a connection after an idle time, and
// limits the idle time of connections to that address.
func (p *pool) recordIdleReset(address string, idleFor time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idleLimits == nil {
		p.idleLimits = map[string]idleLimit{}
	}
	limit := idleLimit{longest: idleFor / idleLimitDivisor, until: now.Add(idleLimitTTL)}
	if previous := p.idleLimits[address]; now.Before(previous.until) {
		limit.longest = min(limit.longest, previous.longest)
	}
	p.idleLimits[address] = limit
}

// withinIdleLimit reports whether a connection that has been idle for a time may be used.
func (p *pool) withinIdleLimit(address string, idleFor time.Duration, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit, found := p.idleLimits[address]
	if found && !now.Before(limit.until) {
		delete(p.idleLimits, address)
		return true
	}
	return !found || idleFor <= limit.longest
}

// recordReset reports a failed exchange to the pool if the connection had been idle and
// nothing has been received on it since.
func (c *pooledConn) recordReset() {
	droppedByPeer := c.idleFor >= minResetIdle && c.received.Load() == c.receivedBefore && !c.isUnresponsive()
	if droppedByPeer {
		c.pool.recordIdleReset(c.address, c.idleFor, time.Now())
	}
}

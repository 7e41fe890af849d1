package quota

import (
	"slices"
	"time"
)

// Of what is told of refusals.
const (
	// unknownWait is told to callers where no stripe has told when there is room.
	unknownWait = time.Second
	// spreadShare is by which part of a wait callers' returns are spread.
	spreadShare = 4
	// tellEvery is how often at most Unreachable is told of a tenant.
	tellEvery = 10 * time.Second
)

// giveUp decides about a request for which no stripe is left to ask: it is refused if one
// of them has told that it has no room. Else this node spends what it may spend alone.
func (m *Machine) giveUp(waiting *want, held *tenant, now time.Time) {
	delete(m.wants, waiting.id)
	wait := held.firstRoom(now)
	if held.isRefused(waiting, now) || held.onlyOwn() {
		m.refuse(waiting, wait)
		return
	}
	if now.Sub(held.toldAlone) > tellEvery {
		held.toldAlone = now
		m.emit(Unreachable{Tenant: held.name})
	}
	if m.spendAlone(held, now) {
		m.noteSpent(held, credit{at: now, tokens: 1}, now)
		m.emit(Decided{ID: waiting.id, Result: Alone})
		return
	}
	m.refuse(waiting, wait)
}

// refuse tells a caller to come back at the time of the first room, or little later: several
// are refused by what one stripe told. One that comes back soon may still be answered within
// its objective.
func (m *Machine) refuse(waiting *want, wait time.Duration) {
	spread := time.Duration(m.random.Int64N(int64(wait)/spreadShare + 1))
	m.emit(Decided{ID: waiting.id, Result: Refused, RetryAfter: wait + spread})
}

// firstRoom tells after how long a stripe has room again.
func (t *tenant) firstRoom(now time.Time) time.Duration {
	wait := unknownWait
	for index := range t.holders {
		if each := &t.holders[index]; each.isEmpty(now) {
			wait = min(wait, each.emptyTill.Sub(now))
		}
	}
	return wait
}

// isRefused reports whether another node has told that its stripe has no room now, or has
// answered the request that waits. Then it doesn't wait for those that are known to be
// silent: a flood while a stripe's node was gone had each request wait for 80 ms.
func (t *tenant) isRefused(waiting *want, now time.Time) bool {
	return waiting.answered || slices.ContainsFunc(t.holders, func(each holder) bool {
		return each.distance != ownNode && each.isEmpty(now)
	})
}

// isEmpty reports whether the holder has told that its stripe has no token now.
func (h *holder) isEmpty(now time.Time) bool { return h.refused && now.Before(h.emptyTill) }

// onlyOwn reports whether this node holds all of the tenant's stripes.
func (t *tenant) onlyOwn() bool { return len(t.holders) == 1 && t.holders[0].distance == ownNode }

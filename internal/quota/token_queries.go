package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timeouts for queries to stripes.
const (
	// sameRegionTimeout is how long to wait for the reply of a stripe in this region before
	// another one is queried: twenty times the usual reply time.
	sameRegionTimeout = 40 * time.Millisecond
	// otherRegionTimeout is the same for a stripe in another region, where the round trip takes
	// 40 ms or more.
	otherRegionTimeout = 120 * time.Millisecond
	// maxWait bounds how long a request waits for a token.
	maxWait = 300 * time.Millisecond
	// unresponsiveFor is how long a node that did not reply is queried last.
	unresponsiveFor = time.Second
	// maxUnresponsive is the number of unresponsive nodes that one request queries, so that on
	// a node that is cut off each request takes 80 ms and two messages instead of 300 ms and
	// eight.
	maxUnresponsive = 2
	// noStripeBackoff is how long a node that reported NoStripe is not queried. By then the
	// change of the catalog that one of the two nodes lacks has mostly reached it.
	noStripeBackoff = 500 * time.Millisecond
)

// holder is the node of one of a tenant's stripes, with this node's view of it.
type holder struct {
	Host
	distance      int
	emptyUntil    time.Time // until when its stripe is expected to have no token
	reportedEmpty bool      // whether the stripe itself reported that it has no token
}

// Distances of holders, the nearest first.
const (
	ownNode = iota
	ownZone
	ownRegion
	otherRegion
)

// holderOf returns the holder at a host. It keeps the state of the previous holder at the same
// host.
func (m *Machine) holderOf(host Host, previous []holder) holder {
	for _, existing := range previous {
		if existing.Host == host {
			return existing
		}
	}
	return holder{Host: host, distance: m.distance(host)}
}

func (m *Machine) distance(host Host) int {
	switch {
	case host.Address == m.config.Self:
		return ownNode
	case host.Zone == m.config.Zone:
		return ownZone
	case host.Region == m.config.Region:
		return ownRegion
	}
	return otherRegion
}

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	id           uint64
	tenant       string
	deadline     time.Time // when it stops waiting
	queried      []string  // hosts of the stripes already queried
	unresponsive int       // how many of these were known to be unresponsive
	replied      bool      // whether the stripe of another node has replied
}

// query is a query to a stripe that awaits its reply.
type query struct {
	id        uint32
	tenant    string
	host      string
	requestID uint64
	sentAt    time.Time
	deadline  time.Time // when it times out and another stripe is queried
}

// onTokenRequested gives a request a cached token or queries a stripe for one.
func (m *Machine) onTokenRequested(event TokenRequested, now time.Time) {
	tenant := m.find(event.Tenant, now)
	if tenant == nil {
		m.admitUnlimited(&waitingRequest{id: event.ID})
		return
	}
	tenant.recordDemand(now)
	if m.spendCached(tenant, now) {
		m.emit(Decided{ID: event.ID, Result: Cached})
		return
	}
	request := &waitingRequest{id: event.ID, tenant: event.Tenant, deadline: now.Add(maxWait)}
	m.waiting[event.ID] = request
	m.queryNext(request, tenant, now)
}

// queryNext queries the next stripe for a waiting request, or decides when there is none left.
func (m *Machine) queryNext(request *waitingRequest, tenant *tenantState, now time.Time) {
	for {
		next := m.nextHolder(request, tenant, now)
		if next == nil || !now.Before(request.deadline) {
			m.decideWithoutStripe(request, tenant, now)
			return
		}
		request.queried = append(request.queried, next.Address)
		if now.Before(m.unresponsiveUntil[next.Address]) {
			request.unresponsive++
		}
		if next.distance != ownNode {
			m.sendQuery(request, tenant, next, now)
			return
		}
		if tenant.ownStripe == nil {
			continue
		}
		granted, wait := tenant.ownStripe.take(1, now)
		if granted > 0 {
			m.grant(request, tenant, tokenBatch{stripe: m.config.Self, requestedAt: now, tokens: 1}, now)
			return
		}
		next.emptyUntil, next.reportedEmpty = now.Add(wait), true
	}
}

// nextHolder returns the nearest holder that was not queried for this request and may have a
// token, chosen at random among equally near ones. Unresponsive holders come last.
func (m *Machine) nextHolder(request *waitingRequest, tenant *tenantState, now time.Time) *holder {
	var best *holder
	var bestCost, ties int
	mayQueryUnresponsive := request.unresponsive < maxUnresponsive && !tenant.isKnownEmpty(request, now)
	for index := range tenant.holders {
		candidate := &tenant.holders[index]
		unresponsive := now.Before(m.unresponsiveUntil[candidate.Address])
		if now.Before(candidate.emptyUntil) || slices.Contains(request.queried, candidate.Address) || unresponsive && !mayQueryUnresponsive {
			continue
		}
		cost := candidate.distance
		if unresponsive {
			cost += otherRegion + 1
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = candidate, cost, 1
		case cost == bestCost:
			ties++
			if m.random.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

func (m *Machine) sendQuery(request *waitingRequest, tenant *tenantState, to *holder, now time.Time) {
	timeout := sameRegionTimeout
	if to.distance == otherRegion {
		timeout = otherRegionTimeout
	}
	m.lastID++
	m.queries = append(m.queries, &query{id: m.lastID, tenant: tenant.name, host: to.Address, requestID: request.id, sentAt: now, deadline: now.Add(timeout)})
	m.emit(Send{Host: to.Address, Message: Message{Kind: Query, ID: m.lastID, Tenant: tenant.name, Tokens: tenant.tokensToQuery()}})
}

// onReply processes the reply to a query.
func (m *Machine) onReply(reply Message, now time.Time) {
	position, found := slices.BinarySearchFunc(m.queries, reply.ID, func(each *query, id uint32) int { return cmp.Compare(each.id, id) })
	if !found {
		return // timed out, or of an earlier process
	}
	pending := m.queries[position]
	m.queries = slices.Delete(m.queries, position, position+1)
	delete(m.unresponsiveUntil, pending.host)
	request, tenant := m.waiting[pending.requestID], m.find(pending.tenant, now)
	if tenant == nil {
		m.admitUnlimited(request)
		return
	}
	if reply.Tokens > 0 {
		m.onGrant(request, tenant, tokenBatch{stripe: pending.host, requestedAt: pending.sentAt, tokens: reply.Tokens}, now)
		return
	}
	m.recordEmpty(tenant, pending.host, reply, now)
	if request == nil {
		return
	}
	request.replied = request.replied || !reply.NoStripe
	m.queryNext(request, tenant, now)
}

// onGrant gives a token to the request that queried, if it still waits, and caches the others.
// Tokens past their lifetime are discarded.
func (m *Machine) onGrant(request *waitingRequest, tenant *tenantState, granted tokenBatch, now time.Time) {
	if now.Sub(granted.requestedAt) > m.config.Settings.tokenLife() {
		return
	}
	if request == nil {
		m.cacheTokens(tenant, granted)
		return
	}
	m.grant(request, tenant, granted, now)
}

// grant gives one token of a batch to a waiting request and caches the others.
func (m *Machine) grant(request *waitingRequest, tenant *tenantState, granted tokenBatch, now time.Time) {
	delete(m.waiting, request.id)
	m.recordSpent(tenant, tokenBatch{stripe: granted.stripe, requestedAt: granted.requestedAt, tokens: 1}, now)
	m.emit(Decided{ID: request.id, Result: Granted})
	granted.tokens--
	if granted.tokens > 0 {
		m.cacheTokens(tenant, granted)
	}
}

func (m *Machine) recordEmpty(tenant *tenantState, host string, reply Message, now time.Time) {
	for index := range tenant.holders {
		candidate := &tenant.holders[index]
		if candidate.Address != host {
			continue
		}
		wait := reply.Wait
		if reply.NoStripe {
			wait = noStripeBackoff
		}
		candidate.emptyUntil, candidate.reportedEmpty = now.Add(wait), !reply.NoStripe
	}
}

// expire removes expired hosts, grants and unresponsive periods, times out queries and returns
// unused tokens.
func (m *Machine) expire(now time.Time) {
	m.hosts.expire(now)
	for host, until := range m.unresponsiveUntil {
		if !now.Before(until) {
			delete(m.unresponsiveUntil, host)
		}
	}
	m.expireGrants(now)
	isOverdue := func(pending *query) bool { return !now.Before(pending.deadline) }
	var overdue []*query
	for _, pending := range m.queries {
		if isOverdue(pending) {
			overdue = append(overdue, pending)
		}
	}
	m.queries = slices.DeleteFunc(m.queries, isOverdue)
	for _, pending := range overdue {
		m.onQueryTimeout(pending, now)
	}
	for _, name := range slices.Sorted(maps.Keys(m.tenantsWithTokens)) { // in a fixed order, for reproducible tests
		m.returnUnused(m.tenantsWithTokens[name], now)
	}
}

// onQueryTimeout queries another stripe and cancels the query that timed out, so that its
// stripe takes back what it may have granted. With 30% of the messages lost, a flooding tenant
// got 0.78 of its limit without the cancellation and gets 0.92 with it.
func (m *Machine) onQueryTimeout(pending *query, now time.Time) {
	m.emit(Send{Host: pending.host, Message: Message{Kind: Cancel, ID: pending.id}})
	m.unresponsiveUntil[pending.host] = now.Add(unresponsiveFor)
	request, tenant := m.waiting[pending.requestID], m.find(pending.tenant, now)
	if tenant == nil {
		m.admitUnlimited(request)
		return
	}
	if request != nil {
		m.queryNext(request, tenant, now)
	}
}

// admitUnlimited admits a request whose tenant was removed or lost its limit in the meantime.
func (m *Machine) admitUnlimited(request *waitingRequest) {
	if request == nil {
		return
	}
	delete(m.waiting, request.id)
	m.emit(Decided{ID: request.id, Result: Unlimited})
}

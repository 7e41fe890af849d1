package quota

import (
	"math"
	"time"
)

// tokenBatch is a number of tokens from one grant.
type tokenBatch struct {
	stripe      string    // host of the stripe; "" for tokens that can't be returned
	requestedAt time.Time // time of the query, from which their lifetime counts
	tokens      int
}

// How many tokens a node requests in advance.
const (
	// prefetchTime is the time for whose expected demand a node requests tokens in advance.
	// Below one request per prefetchTime on this node, tokens are requested one by one, so that
	// none stays unused.
	prefetchTime = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the demand estimate, an exponential moving
	// average.
	demandTimeConstant = time.Second
)

// recordDemand counts a request.
func (t *tenantState) recordDemand(now time.Time) {
	elapsed := now.Sub(t.demandAt).Seconds() / demandTimeConstant.Seconds()
	t.demand = t.demand*math.Exp(-max(0, elapsed)) + 1/demandTimeConstant.Seconds()
	t.demandAt = now
}

// tokensToQuery returns the number of tokens to request in a query.
func (t *tenantState) tokensToQuery() int {
	return min(maxQueryTokens, 1+int(t.demand*prefetchTime.Seconds()))
}

// cacheTokens stores unused tokens, sorted by age with the oldest first.
func (m *Machine) cacheTokens(tenant *tenantState, added tokenBatch) {
	position := len(tenant.cached)
	for position > 0 && tenant.cached[position-1].requestedAt.After(added.requestedAt) {
		position--
	}
	tenant.cached = append(tenant.cached, tokenBatch{})
	copy(tenant.cached[position+1:], tenant.cached[position:])
	tenant.cached[position] = added
	m.tenantsWithTokens[tenant.name] = tenant
}

// spendCached takes an unused token, if there is one.
func (m *Machine) spendCached(tenant *tenantState, now time.Time) bool {
	m.returnUnused(tenant, now)
	if len(tenant.cached) == 0 {
		return false
	}
	first := &tenant.cached[0]
	m.recordSpent(tenant, tokenBatch{stripe: first.stripe, requestedAt: first.requestedAt, tokens: 1}, now)
	first.tokens--
	if first.tokens == 0 {
		tenant.cached = tenant.cached[1:]
	}
	m.untrackIfEmpty(tenant)
	return true
}

// recordSpent stores where the token of a request came from, so that it can be returned.
func (m *Machine) recordSpent(tenant *tenantState, spent tokenBatch, now time.Time) {
	tenant.spent = append(tenant.spent, spent)
	for len(tenant.spent) > 0 && now.Sub(tenant.spent[0].requestedAt) > m.config.Settings.tokenLife() {
		tenant.spent = tenant.spent[1:]
	}
}

// onTokenReturned puts the token of a request back into the cache. A token past its lifetime is
// discarded: its stripe assumes that it was used.
func (m *Machine) onTokenReturned(name string, now time.Time) {
	tenant := m.tenants[name]
	if tenant == nil || len(tenant.spent) == 0 {
		return
	}
	last := len(tenant.spent) - 1
	spent := tenant.spent[last]
	tenant.spent = tenant.spent[:last]
	if spent.stripe != "" && now.Sub(spent.requestedAt) <= m.config.Settings.tokenLife() {
		m.cacheTokens(tenant, spent)
	}
}

// returnUnused returns tokens to their stripes after half their lifetime. It discards those
// past their lifetime, which happens after the process was suspended.
func (m *Machine) returnUnused(tenant *tenantState, now time.Time) {
	tokenLife := m.config.Settings.tokenLife()
	for len(tenant.cached) > 0 && now.Sub(tenant.cached[0].requestedAt) >= tokenLife/2 {
		batch := tenant.cached[0]
		tenant.cached = tenant.cached[1:]
		if now.Sub(batch.requestedAt) <= tokenLife {
			m.returnBatch(tenant, batch, now)
		}
	}
	m.untrackIfEmpty(tenant)
}

func (m *Machine) returnBatch(tenant *tenantState, batch tokenBatch, now time.Time) {
	if batch.stripe != m.config.Self {
		m.emit(Send{Host: batch.stripe, Message: Message{Kind: Return, Tenant: tenant.name, Tokens: batch.tokens}})
		return
	}
	if tenant.ownStripe != nil {
		tenant.ownStripe.returnTokens(batch.tokens, now)
	}
}

func (m *Machine) untrackIfEmpty(tenant *tenantState) {
	if len(tenant.cached) == 0 {
		delete(m.tenantsWithTokens, tenant.name)
	}
}

package quota

import (
	"net/netip"
	"time"
)

// maxQueryTokens is the maximum number of tokens granted to one query.
const maxQueryTokens = 16

// onMessage processes a message of another node.
func (m *Machine) onMessage(received MessageReceived, now time.Time) {
	switch received.Message.Kind {
	case Query:
		m.onQuery(received, now)
	case Reply:
		m.onReply(received.Message, now)
	case Cancel:
		m.onCancel(received, now)
	case Return:
		if tenant := m.find(received.Message.Tenant, now); tenant != nil && tenant.ownStripe != nil {
			tenant.ownStripe.returnTokens(min(received.Message.Tokens, maxQueryTokens), now)
		}
	}
}

// onQuery replies to another node that requests tokens.
func (m *Machine) onQuery(received MessageReceived, now time.Time) {
	reply := Message{Kind: Reply, ID: received.Message.ID}
	tenant := m.find(received.Message.Tenant, now)
	if tenant == nil || tenant.ownStripe == nil {
		reply.NoStripe = true
	} else {
		reply.Tokens, reply.Wait = tenant.ownStripe.take(min(received.Message.Tokens, maxQueryTokens), now)
	}
	if reply.Tokens > 0 {
		m.recentGrants[grantKey{from: received.From, id: reply.ID}] = recentGrant{tenant: tenant.name, tokens: reply.Tokens, at: now}
	}
	m.emit(Send{To: received.From, Message: reply})
}

// grantKey identifies a query of another node.
type grantKey struct {
	from netip.AddrPort
	id   uint32
}

// recentGrant is the grant made to a query, retained while it may be cancelled.
type recentGrant struct {
	tenant string
	tokens int
	at     time.Time
}

// onCancel takes back the tokens of a grant that the querying node will not use because the
// reply was lost or came too late.
func (m *Machine) onCancel(received MessageReceived, now time.Time) {
	key := grantKey{from: received.From, id: received.Message.ID}
	grant := m.recentGrants[key]
	delete(m.recentGrants, key)
	if tenant := m.find(grant.tenant, now); tenant != nil && tenant.ownStripe != nil && now.Sub(grant.at) <= m.config.Settings.tokenLife() {
		tenant.ownStripe.returnTokens(grant.tokens, now)
	}
}

// expireGrants removes grants that are too old to be cancelled.
func (m *Machine) expireGrants(now time.Time) {
	for key, grant := range m.recentGrants {
		if now.Sub(grant.at) > m.config.Settings.tokenLife() {
			delete(m.recentGrants, key)
		}
	}
}

// fallbackShareOf returns the tokens that this node may spend per window while it reaches no
// stripe. The shares of all nodes add up to Settings.fallbackTokens: the remainder of the
// division goes to the nodes with the lowest ranks.
func (m *Machine) fallbackShareOf(tenant *tenantState) int {
	position, found := m.hosts.position(tenant.name, m.config.Self)
	if !found {
		return 0
	}
	total, hosts := m.config.Settings.fallbackTokens(tenant.rate, tenant.burst), len(m.hosts.byAddress)
	share := total / hosts
	if position < total%hosts {
		share++
	}
	return share
}

// spendFallback takes a token of this node's fallback share, if one is left in the window that
// ends now.
func (m *Machine) spendFallback(tenant *tenantState, now time.Time) bool {
	windowStart := now.Add(-m.config.Settings.Window)
	for len(tenant.fallbackSpent) > 0 && !tenant.fallbackSpent[0].After(windowStart) {
		tenant.fallbackSpent = tenant.fallbackSpent[1:]
	}
	if len(tenant.fallbackSpent) >= tenant.fallbackShare {
		return false
	}
	tenant.fallbackSpent = append(tenant.fallbackSpent, now)
	return true
}

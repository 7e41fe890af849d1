package quota

import (
	"net/netip"
	"time"
)

// mostTokens bounds what one question may ask for.
const mostTokens = 16

// onMessage takes a message of another node in.
func (m *Machine) onMessage(heard Heard, now time.Time) {
	switch heard.Message.Kind {
	case Question:
		m.onQuestion(heard, now)
	case Answer:
		m.onAnswer(heard.Message, now)
	case Withdrawal:
		m.onWithdrawal(heard, now)
	case Return:
		if held := m.find(heard.Message.Tenant, now); held != nil && held.own != nil {
			held.own.giveBack(min(heard.Message.Tokens, mostTokens), now)
		}
	}
}

// onQuestion answers another node that asks for tokens.
func (m *Machine) onQuestion(heard Heard, now time.Time) {
	answer := Message{Kind: Answer, ID: heard.Message.ID}
	held := m.find(heard.Message.Tenant, now)
	if held == nil || held.own == nil {
		answer.None = true
	} else {
		answer.Tokens, answer.Wait = held.own.take(min(heard.Message.Tokens, mostTokens), now)
	}
	if answer.Tokens > 0 {
		m.grants[grantKey{from: heard.From, id: answer.ID}] = grantMade{tenant: held.name, tokens: answer.Tokens, at: now}
	}
	m.emit(Send{To: heard.From, Message: answer})
}

// grantKey names a question of another node.
type grantKey struct {
	from netip.AddrPort
	id   uint32
}

// grantMade is what a question was granted.
type grantMade struct {
	tenant string
	tokens int
	at     time.Time
}

// onWithdrawal takes the tokens back of an answer that its asker will not use: it was lost,
// or came too late.
func (m *Machine) onWithdrawal(heard Heard, now time.Time) {
	key := grantKey{from: heard.From, id: heard.Message.ID}
	made := m.grants[key]
	delete(m.grants, key)
	if held := m.find(made.tenant, now); held != nil && held.own != nil && now.Sub(made.at) <= m.config.Settings.life() {
		held.own.giveBack(made.tokens, now)
	}
}

// forgetGrants forgets what is too old to be withdrawn.
func (m *Machine) forgetGrants(now time.Time) {
	for key, made := range m.grants {
		if now.Sub(made.at) > m.config.Settings.life() {
			delete(m.grants, key)
		}
	}
}

// shareOf returns how many tokens this node may spend alone in a window. All nodes' add up
// to the share of all: what can't be divided goes to the first by rank.
func (m *Machine) shareOf(held *tenant) int {
	place, known := m.hosts.place(held.name, m.config.Self)
	if !known {
		return 0
	}
	whole, hosts := m.config.Settings.share(held.rate, held.burst), len(m.hosts.known)
	share := whole / hosts
	if place < whole%hosts {
		share++
	}
	return share
}

// spendAlone takes a token of this node's share, if one is left in the window that ends now.
func (m *Machine) spendAlone(held *tenant, now time.Time) bool {
	from := now.Add(-m.config.Settings.Window)
	for len(held.alone) > 0 && !held.alone[0].After(from) {
		held.alone = held.alone[1:]
	}
	if len(held.alone) >= held.share {
		return false
	}
	held.alone = append(held.alone, now)
	return true
}

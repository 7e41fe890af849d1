package quota

import (
	"math"
	"time"
)

// credit is some tokens that a stripe has granted.
type credit struct {
	stripe string    // host of the stripe, "" for tokens that can't go back
	at     time.Time // when they were asked for
	tokens int
}

// Of how much a node takes in advance.
const (
	// ahead is for how long a node takes tokens in advance. Callers who make less than one
	// request in that time at this node get their tokens one by one, so that none lies idle.
	ahead = 100 * time.Millisecond
	// demandMemory is the time constant of the estimate of what callers use.
	demandMemory = time.Second
)

// noteDemand counts a request.
func (t *tenant) noteDemand(now time.Time) {
	passed := now.Sub(t.demandAt).Seconds() / demandMemory.Seconds()
	t.demand = t.demand*math.Exp(-max(0, passed)) + 1/demandMemory.Seconds()
	t.demandAt = now
}

// wantedTokens is how many tokens to ask for.
func (t *tenant) wantedTokens() int {
	return min(mostTokens, 1+int(t.demand*ahead.Seconds()))
}

// addCredit puts tokens in hand. The oldest come first.
func (m *Machine) addCredit(held *tenant, added credit) {
	place := len(held.credits)
	for place > 0 && held.credits[place-1].at.After(added.at) {
		place--
	}
	held.credits = append(held.credits, credit{})
	copy(held.credits[place+1:], held.credits[place:])
	held.credits[place] = added
	m.creditors[held.name] = held
}

// spendCredit takes a token from hand.
func (m *Machine) spendCredit(held *tenant, now time.Time) bool {
	m.dropOld(held, now)
	if len(held.credits) == 0 {
		return false
	}
	first := &held.credits[0]
	m.noteSpent(held, credit{stripe: first.stripe, at: first.at, tokens: 1}, now)
	first.tokens--
	if first.tokens == 0 {
		held.credits = held.credits[1:]
	}
	m.settleCredits(held)
	return true
}

// noteSpent remembers where the token of a request came from.
func (m *Machine) noteSpent(held *tenant, spent credit, now time.Time) {
	held.spent = append(held.spent, spent)
	for len(held.spent) > 0 && now.Sub(held.spent[0].at) > m.config.Settings.life() {
		held.spent = held.spent[1:]
	}
}

// onReturned takes the token of a request back. One whose time is over is lost: the stripe
// counts on tokens that were granted long ago to have been used.
func (m *Machine) onReturned(name string, now time.Time) {
	held := m.tenants[name]
	if held == nil || len(held.spent) == 0 {
		return
	}
	last := len(held.spent) - 1
	spent := held.spent[last]
	held.spent = held.spent[:last]
	if spent.stripe != "" && now.Sub(spent.at) <= m.config.Settings.life() {
		m.addCredit(held, spent)
	}
}

// dropOld gives tokens back that were in hand for half their life, and forgets those whose
// life is over: a node that stood still holds them.
func (m *Machine) dropOld(held *tenant, now time.Time) {
	life := m.config.Settings.life()
	for len(held.credits) > 0 && now.Sub(held.credits[0].at) >= life/2 {
		old := held.credits[0]
		held.credits = held.credits[1:]
		if now.Sub(old.at) <= life {
			m.returnTo(held, old, now)
		}
	}
	m.settleCredits(held)
}

func (m *Machine) returnTo(held *tenant, old credit, now time.Time) {
	if old.stripe != m.config.Self {
		m.emit(Send{Host: old.stripe, Message: Message{Kind: Return, Tenant: held.name, Tokens: old.tokens}})
		return
	}
	if held.own != nil {
		held.own.giveBack(old.tokens, now)
	}
}

func (m *Machine) settleCredits(held *tenant) {
	if len(held.credits) == 0 {
		delete(m.creditors, held.name)
	}
}

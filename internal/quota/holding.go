package quota

import "time"

// mostTokens bounds what one question may ask for.
const mostTokens = 16

// onMessage takes a message of another node in.
func (m *Machine) onMessage(heard Heard, now time.Time) {
	switch heard.Message.Kind {
	case Question:
		m.onQuestion(heard, now)
	case Answer:
		m.onAnswer(heard.Message, now)
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
	m.emit(Send{To: heard.From, Message: answer})
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

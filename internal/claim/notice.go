package claim

import (
	"time"

	"sliphead/internal/wire"
)

// Bounds of notices.
const (
	noticeTries       = 6    // a notice is sent so many times
	noticeRetryFactor = 4    // after so many Config.Retry
	maxNotices        = 1024 // beyond that the replicas are told once only
)

// notice is a finish or release on its way to the replicas.
type notice struct {
	service string
	request wire.ClaimRequest
	left    map[string]bool // workers that have not noted it
	tries   int
	next    time.Time
}

// finish tells the replicas that a run has ended.
func (m *Machine) finish(event Finish, now time.Time) []Effect {
	a := m.running[event.Holder]
	if a == nil {
		return nil
	}
	delete(m.running, event.Holder)
	answer := event.Answer
	if len(answer) > m.config.AnswerBytes {
		answer = nil
	}
	return m.notify(a, wire.ClaimFinish, answer, now)
}

// release tells the replicas that a run did not take place.
func (m *Machine) release(holder string, now time.Time) []Effect {
	a := m.running[holder]
	if a == nil {
		return nil
	}
	delete(m.running, holder)
	return m.notify(a, wire.ClaimRelease, nil, now)
}

// notify tells all replicas, the own one at once, and again until they note it.
func (m *Machine) notify(a *attempt, kind wire.ClaimKind, answer []byte, now time.Time) []Effect {
	held := m.services[a.claim.Service]
	a.number = m.nextNumber()
	sent := &notice{service: held.name, request: m.request(a, kind, held), left: make(map[string]bool)}
	sent.request.Answer = answer
	sent.request.Round = max(a.round, a.highest)
	groups := append(held.groups(slotOf(a.claim.Key), now, m.config.hold()), a.groups...)
	for _, worker := range members(groups) {
		if worker == m.config.Worker {
			m.answer(sent.request, now)
			continue
		}
		sent.left[worker] = true
	}
	if len(sent.left) > 0 && len(m.notices) < maxNotices {
		m.notices[a.number] = sent
	}
	return m.sendNotice(sent, held, now)
}

func (m *Machine) sendNotice(sent *notice, held *service, now time.Time) []Effect {
	sent.tries++
	sent.next = now.Add(noticeRetryFactor * m.config.Retry)
	var effects []Effect
	for _, worker := range sortedKeys(sent.left) {
		effects = m.send(effects, held, worker, wire.Envelope{ClaimRequest: &sent.request})
	}
	return effects
}

// repeatNotice sends a notice again to those that have not noted it.
func (m *Machine) repeatNotice(sent *notice, now time.Time) []Effect {
	if now.Before(sent.next) {
		return nil
	}
	if sent.tries >= noticeTries {
		delete(m.notices, sent.request.Number)
		return nil
	}
	return m.sendNotice(sent, m.services[sent.service], now)
}

// noted takes in that a replica has noted a finish or release.
func (m *Machine) noted(reply wire.ClaimReply) {
	sent := m.notices[reply.Number]
	if sent == nil {
		return
	}
	delete(sent.left, reply.Worker)
	if len(sent.left) == 0 {
		delete(m.notices, reply.Number)
	}
}

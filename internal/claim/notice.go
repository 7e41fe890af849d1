package claim

import (
	"time"

	"sliphead/internal/wire"
)

// Bounds of notices.
const (
	maxNoticeAttempts = 6    // times that a notice is sent
	noticeRetryFactor = 4    // resend interval in multiples of Config.RetryInterval
	maxNotices        = 1024 // notices tracked; further ones are sent only once
)

// notice is a finish or release that is being sent to the replicas.
type notice struct {
	service        string
	request        wire.ClaimRequest
	unacknowledged map[string]bool // workers whose replica has not acknowledged it
	attempts       int
	resendAt       time.Time
}

// finish notifies the replicas that a run has ended.
func (m *Machine) finish(event Finish, now time.Time) []Effect {
	a := m.running[event.Holder]
	if a == nil {
		return nil
	}
	delete(m.running, event.Holder)
	response := event.Response
	if len(response) > m.config.MaxResponseBytes {
		response = nil
	}
	return m.notify(a, wire.ClaimFinish, response, now)
}

// release notifies the replicas that a run did not take place.
func (m *Machine) release(holder string, now time.Time) []Effect {
	a := m.running[holder]
	if a == nil {
		return nil
	}
	delete(m.running, holder)
	return m.notify(a, wire.ClaimRelease, nil, now)
}

// notify sends a notice to all replicas and tracks it until they acknowledge
// it. The node's own replica handles it directly.
func (m *Machine) notify(a *attempt, kind wire.ClaimKind, response []byte, now time.Time) []Effect {
	state := m.services[a.claim.Service]
	a.requestNumber = m.nextNumber()
	sent := &notice{service: state.name, request: m.newRequest(a, kind, state), unacknowledged: make(map[string]bool)}
	sent.request.Response = response
	sent.request.Round = max(a.round, a.highestRound)
	groups := append(state.requiredGroups(slotOf(a.claim.Key), now, m.config.retention()), a.groups...)
	for _, worker := range members(groups) {
		if worker == m.config.Worker {
			m.handleRequest(sent.request, now)
			continue
		}
		sent.unacknowledged[worker] = true
	}
	if len(sent.unacknowledged) > 0 && len(m.notices) < maxNotices {
		m.notices[a.requestNumber] = sent
	}
	return m.sendNotice(sent, state, now)
}

func (m *Machine) sendNotice(sent *notice, state *serviceState, now time.Time) []Effect {
	sent.attempts++
	sent.resendAt = now.Add(noticeRetryFactor * m.config.RetryInterval)
	var effects []Effect
	for _, worker := range sortedKeys(sent.unacknowledged) {
		effects = m.send(effects, state, worker, wire.Envelope{ClaimRequest: &sent.request})
	}
	return effects
}

// resendNotice sends a due notice again to the replicas that have not
// acknowledged it, and drops it after maxNoticeAttempts.
func (m *Machine) resendNotice(sent *notice, now time.Time) []Effect {
	if now.Before(sent.resendAt) {
		return nil
	}
	if sent.attempts >= maxNoticeAttempts {
		delete(m.notices, sent.request.Number)
		return nil
	}
	return m.sendNotice(sent, m.services[sent.service], now)
}

// receiveNoticeAck records that a replica has acknowledged a finish or release.
func (m *Machine) receiveNoticeAck(reply wire.ClaimReply) {
	sent := m.notices[reply.Number]
	if sent == nil {
		return
	}
	delete(sent.unacknowledged, reply.Worker)
	if len(sent.unacknowledged) == 0 {
		delete(m.notices, reply.Number)
	}
}

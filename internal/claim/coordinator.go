package claim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sliphead/internal/wire"
)

// phase is the progress of an attempt within its round.
type phase int

const (
	phaseIdle    phase = iota // no request in progress: the node is not ready, or the attempt backs off
	phasePromise              // waiting for promises
	phasePrepare              // waiting for votes
)

// attempt is one claim in progress.
type attempt struct {
	claim         Claim
	phase         phase
	round         uint64
	requestNumber uint64 // number of the requests of this phase
	groups        []group
	replies       map[string]wire.ClaimReply // replies of this phase by worker
	highestRound  uint64                     // highest round seen in any reply
	contacted     bool                       // requests were sent, so replicas may have stored a vote or promise for it
	resendAt      time.Time                  // when requests without a reply are resent
	phaseDeadline time.Time                  // when replicas that have not replied are considered unreachable
	backoffUntil  time.Time                  // end of the backoff
}

// phaseTimeoutFactor is the timeout of a phase in multiples of Config.RetryInterval.
const phaseTimeoutFactor = 4

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K { return slices.Sorted(maps.Keys(values)) }

// startAttempt starts an attempt. It refuses the claim at once if the service
// is unknown or MaxAttempts are in progress.
func (m *Machine) startAttempt(event Claim, now time.Time) []Effect {
	latest := now.Add(m.config.MaxClaim)
	if event.Deadline.After(latest) {
		event.Deadline = latest
	}
	if m.services[event.Service] == nil || len(m.attempts) >= m.config.MaxAttempts {
		return []Effect{Decided{event.Holder, Decision{Verdict: VerdictNoQuorum}}}
	}
	started := &attempt{claim: event, phase: phaseIdle, phaseDeadline: now.Add(phaseTimeoutFactor * m.config.RetryInterval)}
	m.attempts[event.Holder] = started
	return m.advance(started, now)
}

// advance does whatever has become due for an attempt: it starts a phase,
// resends requests, or ends the phase or the attempt on a timeout.
func (m *Machine) advance(a *attempt, now time.Time) []Effect {
	if !now.Before(a.claim.Deadline) {
		return m.refuse(a, VerdictNoQuorum, now)
	}
	state := m.services[a.claim.Service]
	if a.phase == phaseIdle {
		if now.Before(a.backoffUntil) {
			return nil
		}
		if !m.mayCoordinate(state, a.claim.Key, now) {
			return m.refuseAfterTimeout(a, now)
		}
		if a.highestRound == 0 {
			return m.startPhase(a, phasePrepare, 0, now)
		}
		return m.startPhase(a, phasePromise, a.highestRound+1, now)
	}
	if !now.Before(a.phaseDeadline) {
		return m.endPhase(a, now)
	}
	if now.Before(a.resendAt) {
		return nil
	}
	a.resendAt = now.Add(m.config.RetryInterval)
	return m.sendPhaseRequests(a, state, now)
}

// refuseAfterTimeout refuses an attempt that has sent no request because its
// node may not coordinate. Recovery may take minutes, so the caller gets its
// refusal after a short wait rather than occupying a request slot until its
// deadline.
func (m *Machine) refuseAfterTimeout(a *attempt, now time.Time) []Effect {
	if a.contacted || now.Before(a.phaseDeadline) {
		return nil
	}
	return m.refuse(a, VerdictNoQuorum, now)
}

// mayCoordinate reports whether this node has all configurations whose
// majorities are still required. It has them once its own replica has
// recovered.
func (m *Machine) mayCoordinate(state *serviceState, key string, now time.Time) bool {
	open := !m.replaced && !now.Before(m.config.Since)
	return open && state.isReady(slotOf(key)) && len(state.priors) <= maxPriors
}

// startPhase starts a phase and sends its requests to all replicas.
func (m *Machine) startPhase(a *attempt, next phase, round uint64, now time.Time) []Effect {
	state := m.services[a.claim.Service]
	m.setPhase(a, next, m.nextNumber())
	a.round = round
	a.highestRound = max(a.highestRound, round)
	a.groups = state.requiredGroups(slotOf(a.claim.Key), now, m.config.retention())
	a.replies = make(map[string]wire.ClaimReply)
	a.contacted = true
	a.resendAt = now.Add(m.config.RetryInterval)
	a.phaseDeadline = now.Add(phaseTimeoutFactor * m.config.RetryInterval)
	return m.sendPhaseRequests(a, state, now)
}

// newRequest returns the attempt's request of the given kind.
func (m *Machine) newRequest(a *attempt, kind wire.ClaimKind, state *serviceState) wire.ClaimRequest {
	return wire.ClaimRequest{
		Kind: kind, Number: a.requestNumber, Service: a.claim.Service, Key: a.claim.Key, BodyDigest: a.claim.BodyDigest,
		Holder: a.claim.Holder, Round: a.round, Version: m.version, Group: state.current.digest,
		TTLMS: m.config.KeyLife.Milliseconds(),
	}
}

// sendPhaseRequests sends the request of the phase to the replicas that have
// not replied. The node's own replica handles it directly.
func (m *Machine) sendPhaseRequests(a *attempt, state *serviceState, now time.Time) []Effect {
	kind := wire.ClaimPrepare
	if a.phase == phasePromise {
		kind = wire.ClaimPromise
	}
	request := m.newRequest(a, kind, state)
	var effects []Effect
	var own *wire.ClaimReply
	for _, worker := range members(a.groups) {
		if _, answered := a.replies[worker]; answered {
			continue
		}
		if worker != m.config.Worker {
			effects = m.send(effects, state, worker, wire.Envelope{ClaimRequest: &request})
			continue
		}
		reply, logs := m.handleRequest(request, now)
		effects = append(effects, logs...)
		own = &reply
	}
	if own == nil {
		return effects
	}
	return append(effects, m.receiveReply(*own, now)...)
}

// receiveReply handles a replica's vote, or its acknowledgement of a finish or
// release.
func (m *Machine) receiveReply(reply wire.ClaimReply, now time.Time) []Effect {
	if reply.Vote == wire.VoteNoted {
		m.receiveNoticeAck(reply)
		return nil
	}
	a := m.attemptByRequest[reply.Number]
	if a == nil {
		return nil
	}
	return m.receiveVote(a, reply, now)
}

// setPhase enters a phase whose requests and replies carry the number. Number 0
// means that no replies are expected.
func (m *Machine) setPhase(a *attempt, next phase, number uint64) {
	delete(m.attemptByRequest, a.requestNumber)
	a.phase, a.requestNumber = next, number
	if number != 0 {
		m.attemptByRequest[number] = a
	}
}

// removeAttempt removes an attempt that is decided or cancelled.
func (m *Machine) removeAttempt(a *attempt) {
	m.setPhase(a, phaseIdle, 0)
	delete(m.attempts, a.claim.Holder)
}

func (m *Machine) receiveVote(a *attempt, reply wire.ClaimReply, now time.Time) []Effect {
	if !now.Before(a.claim.Deadline) {
		return m.refuse(a, VerdictNoQuorum, now)
	}
	state := m.services[a.claim.Service]
	switch {
	case !state.sameGroups(reply.Group, reply.Version):
		reply.Vote = wire.VoteNone // counts as a reply, but not as a vote
	case !state.hasPriors(reply.Priors):
		reply.Vote = wire.VoteNone
		state.recovery.urgent = true
		fallthrough
	default:
		state.recordLeft(reply.Worker, time.Duration(reply.SinceMS)*time.Millisecond, now)
	}
	a.replies[reply.Worker] = reply
	a.highestRound = max(a.highestRound, reply.Promised)
	switch {
	case reply.Vote == wire.VoteMismatch:
		return m.refuse(a, VerdictMismatch, now)
	case reply.Vote == wire.VoteFinished && reply.Response != nil:
		return m.refuseWith(a, Decision{Verdict: VerdictAnswered, Response: reply.Response}, now)
	case a.phase == phasePrepare && a.hasMajorities(wire.VoteGranted):
		return m.allow(a)
	case a.phase == phasePromise && a.hasMajorities(wire.VotePromised) && a.rival() == "":
		return m.startPhase(a, phasePrepare, a.round, now)
	case len(a.replies) == len(members(a.groups)):
		return m.endPhase(a, now)
	}
	return nil
}

// validReplies returns the replies with the given vote, by worker. It leaves
// out replies of processes that another of these replies reports as replaced:
// the process that replaced them may not have the vote.
func (a *attempt) validReplies(vote wire.ClaimVote) map[string]wire.ClaimReply {
	valid := make(map[string]wire.ClaimReply, len(a.replies))
	latest := make(map[string]uint64, len(a.replies))
	for worker, reply := range a.replies {
		if reply.Vote != vote {
			continue
		}
		valid[worker] = reply
		for other, incarnation := range reply.Known {
			latest[other] = max(latest[other], incarnation)
		}
	}
	for worker, reply := range valid {
		if reply.Incarnation < latest[worker] {
			delete(valid, worker)
		}
	}
	return valid
}

// hasMajorities reports whether a majority of every group gave the vote, and no
// replica reported the key as finished.
func (a *attempt) hasMajorities(vote wire.ClaimVote) bool {
	if a.hasAny(wire.VoteFinished) {
		return false
	}
	valid := a.validReplies(vote)
	for _, replicas := range a.groups {
		votes := replicas.count(func(worker string) bool {
			_, found := valid[worker]
			return found
		})
		if votes < replicas.majority() {
			return false
		}
	}
	return true
}

// rival returns a holder that may have a majority in some group, counting its
// reported votes and those of all replicas that did not promise. It returns ""
// if there is none, so that this attempt may request votes. This is the rule of
// Lamport's Paxos, except that a rival's claim is never completed on its
// behalf, as only the rival itself can run the request.
func (a *attempt) rival() string {
	promised := a.validReplies(wire.VotePromised)
	for _, replicas := range a.groups {
		missing := replicas.count(func(worker string) bool {
			_, found := promised[worker]
			return !found
		})
		votes := make(map[string]int)
		for _, worker := range replicas {
			by := promised[worker].AcceptedBy
			if by != "" && by != a.claim.Holder {
				votes[by]++
			}
		}
		for holder, count := range votes {
			if count+missing >= replicas.majority() {
				return holder
			}
		}
	}
	return ""
}

// endPhase ends a phase without the required majorities, because all replicas
// have replied or the phase timed out.
func (m *Machine) endPhase(a *attempt, now time.Time) []Effect {
	if a.hasAny(wire.VoteFinished) {
		return m.refuse(a, VerdictAlreadyRan, now)
	}
	if a.phase == phasePromise && a.hasMajorities(wire.VotePromised) {
		return m.refuse(a, VerdictBusy, now) // rival is not "": otherwise receiveVote would have requested votes
	}
	if a.hasAny(wire.VoteTaken) {
		a.highestRound = max(a.highestRound, 1)
	}
	m.backOff(a, now)
	return nil
}

// hasAny reports whether any replica gave the vote.
func (a *attempt) hasAny(vote wire.ClaimVote) bool {
	for _, reply := range a.replies {
		if reply.Vote == vote {
			return true
		}
	}
	return false
}

// backOff delays the next round by a random time, so that rivals do not keep
// preempting each other.
func (m *Machine) backOff(a *attempt, now time.Time) {
	m.setPhase(a, phaseIdle, 0)
	a.backoffUntil = now.Add(time.Duration(m.config.Random.Int64N(int64(m.config.RetryInterval))))
}

// allow decides that the attempt may run.
func (m *Machine) allow(a *attempt) []Effect {
	m.removeAttempt(a)
	m.running[a.claim.Holder] = a
	return []Effect{Decided{a.claim.Holder, Decision{Verdict: VerdictRun, Holder: a.claim.Holder}}}
}

func (m *Machine) refuse(a *attempt, verdict Verdict, now time.Time) []Effect {
	return m.refuseWith(a, Decision{Verdict: verdict}, now)
}

// refuseWith decides that the attempt never runs and releases its votes.
func (m *Machine) refuseWith(a *attempt, decision Decision, now time.Time) []Effect {
	m.removeAttempt(a)
	effects := []Effect{Decided{a.claim.Holder, decision}}
	if !a.contacted {
		return effects
	}
	return append(effects, m.notify(a, wire.ClaimRelease, nil, now)...)
}

// cancel ends an attempt, decided or not, that has not run and never will.
func (m *Machine) cancel(holder string, now time.Time) []Effect {
	a := m.attempts[holder]
	if a == nil {
		return m.release(holder, now)
	}
	m.removeAttempt(a)
	if !a.contacted {
		return nil
	}
	return m.notify(a, wire.ClaimRelease, nil, now)
}

package claim

import (
	"time"

	"sliphead/internal/wire"
)

// answer is a replica's part: it answers a promise, prepare, finish or release
// for the records that it holds.
func (m *Machine) answer(request wire.ClaimRequest, now time.Time) (wire.ClaimReply, []Effect) {
	reply := wire.ClaimReply{Number: request.Number, Key: request.Key, Vote: wire.VoteNone}
	reply.Worker, reply.Incarnation = m.config.Worker, m.incarnation
	held := m.services[request.Service]
	if held == nil {
		return reply, nil
	}
	reply.Group, reply.Version = held.current.digest, m.version
	reply.SinceMS = now.Sub(held.since).Milliseconds()
	switch request.Kind {
	case wire.ClaimFinish:
		return reply, m.takeFinish(held, request, &reply, now)
	case wire.ClaimRelease:
		m.takeRelease(held, request, &reply, now)
		return reply, nil
	case wire.ClaimPromise, wire.ClaimPrepare:
		return reply, m.vote(held, request, &reply, now)
	default:
		return reply, nil
	}
}

// mayVote reports whether this replica's memory is whole for the slot of the
// key, it is of one of its groups, and the asker knows the same declared
// workers. A request from before a change of them must not be voted for: the
// majorities that it counts are no longer the ones that later claims ask.
func (m *Machine) mayVote(held *service, request wire.ClaimRequest, now time.Time) bool {
	if m.replaced || now.Before(m.config.Since) || !held.sameGroups(request.Group, request.Version) {
		return false
	}
	slot := slotOf(request.Key)
	return held.isReady(slot) && m.isMember(held, slot, now)
}

func (m *Machine) isMember(held *service, slot int, now time.Time) bool {
	for _, one := range held.groups(slot, now, m.config.hold()) {
		if one.contains(m.config.Worker) {
			return true
		}
	}
	return false
}

// vote answers a promise or a prepare.
func (m *Machine) vote(held *service, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) []Effect {
	if !m.mayVote(held, request, now) {
		return nil
	}
	groups := held.groups(slotOf(request.Key), now, m.config.hold())
	reply.Priors = held.priorDigests()
	reply.Known = held.knownOf(members(groups))
	expires := now.Add(m.config.hold())
	entry := held.table.open(request.Key, now, expires, m.config.MaxKeys)
	if entry == nil {
		return []Effect{Log{Name: LogFull, Service: held.name, Count: len(held.table.records)}}
	}
	wanted := ballot{request.Round, request.Holder}
	switch {
	case (entry.finished || entry.holder != "") && entry.body != request.Body:
		reply.Vote = wire.VoteMismatch
	case entry.finished:
		reply.Vote, reply.Answer = wire.VoteFinished, entry.answer
	case entry.unsure:
		reply.Vote = wire.VoteNone
	case wanted.compare(entry.promised) < 0:
		reply.Vote = wire.VoteTaken
	case request.Kind == wire.ClaimPromise:
		entry.promised = wanted
		entry.extend(expires)
		reply.Vote = wire.VotePromised
	case request.Round == 0 && entry.holder != "" && entry.holder != request.Holder:
		reply.Vote = wire.VoteTaken
	default:
		entry.holder, entry.round, entry.body, entry.promised = request.Holder, request.Round, request.Body, wanted
		entry.extend(expires)
		reply.Vote = wire.VoteGranted
	}
	reply.Promised, reply.AcceptedBy = entry.promised.round, entry.holder
	return nil
}

// takeFinish records that a key ran. This is a fact whatever the replica
// voted, so a replica that may not vote takes it too.
func (m *Machine) takeFinish(held *service, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) []Effect {
	expires := now.Add(m.config.hold())
	entry := held.table.open(request.Key, now, expires, m.config.MaxKeys)
	if entry == nil {
		return []Effect{Log{Name: LogFull, Service: held.name, Count: len(held.table.records)}}
	}
	entry.extend(expires)
	entry.finished, entry.holder, entry.body = true, request.Holder, request.Body
	held.table.keep(request.Key, entry, request.Answer, m.config.AnswerBytes, m.config.AnswerBudget)
	reply.Vote = wire.VoteNoted
	return nil
}

// takeRelease clears the vote for a holder that never runs, and refuses its
// ballots from now on, should one still be under way.
func (m *Machine) takeRelease(held *service, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) {
	reply.Vote = wire.VoteNoted
	entry := held.table.open(request.Key, now, now.Add(m.config.hold()), m.config.MaxKeys)
	if entry == nil || entry.finished {
		return
	}
	if entry.holder == request.Holder {
		entry.holder, entry.round, entry.body = "", 0, ""
	}
	after := ballot{round: request.Round + 1}
	if after.compare(entry.promised) > 0 {
		entry.promised = after
	}
}

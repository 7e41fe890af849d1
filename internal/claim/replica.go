package claim

import (
	"time"

	"sliphead/internal/wire"
)

// handleRequest handles a promise, prepare, finish or release as a replica and
// returns the reply.
func (m *Machine) handleRequest(request wire.ClaimRequest, now time.Time) (wire.ClaimReply, []Effect) {
	reply := wire.ClaimReply{Number: request.Number, Key: request.Key, Vote: wire.VoteNone}
	reply.Worker, reply.Incarnation = m.config.Worker, m.incarnation
	state := m.services[request.Service]
	if state == nil {
		return reply, nil
	}
	reply.Group, reply.Version = state.current.digest, m.version
	reply.SinceMS = now.Sub(state.currentSince).Milliseconds()
	switch request.Kind {
	case wire.ClaimFinish:
		return reply, m.recordFinish(state, request, &reply, now)
	case wire.ClaimRelease:
		m.recordRelease(state, request, &reply, now)
		return reply, nil
	case wire.ClaimPromise, wire.ClaimPrepare:
		return reply, m.castVote(state, request, &reply, now)
	default:
		return reply, nil
	}
}

// mayVote reports whether this replica has all its votes in the key's slot, is
// a member of one of its groups, and has the same declared workers as the
// requester. A request from before a change of the workers gets no vote: the
// majorities that it counts are no longer those that later claims query.
func (m *Machine) mayVote(state *serviceState, request wire.ClaimRequest, now time.Time) bool {
	if m.replaced || now.Before(m.config.Since) || !state.sameGroups(request.Group, request.Version) {
		return false
	}
	slot := slotOf(request.Key)
	return state.isReady(slot) && m.isMember(state, slot, now)
}

func (m *Machine) isMember(state *serviceState, slot int, now time.Time) bool {
	for _, replicas := range state.requiredGroups(slot, now, m.config.retention()) {
		if replicas.contains(m.config.Worker) {
			return true
		}
	}
	return false
}

// castVote handles a promise or prepare request.
func (m *Machine) castVote(state *serviceState, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) []Effect {
	if !m.mayVote(state, request, now) {
		return nil
	}
	groups := state.requiredGroups(slotOf(request.Key), now, m.config.retention())
	reply.Priors = state.priorDigests()
	reply.Known = state.incarnationsOf(members(groups))
	expires := now.Add(m.config.retention())
	entry := state.table.findOrCreate(request.Key, now, expires, m.config.MaxKeys)
	if entry == nil {
		return []Effect{Log{Name: LogTableFull, Service: state.name, Count: len(state.table.records)}}
	}
	wanted := ballot{request.Round, request.Holder}
	switch {
	case (entry.finished || entry.holder != "") && entry.bodyDigest != request.BodyDigest:
		reply.Vote = wire.VoteMismatch
	case entry.finished:
		reply.Vote, reply.Response = wire.VoteFinished, entry.response
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
		entry.holder, entry.round, entry.bodyDigest, entry.promised = request.Holder, request.Round, request.BodyDigest, wanted
		entry.extend(expires)
		reply.Vote = wire.VoteGranted
	}
	reply.Promised, reply.AcceptedBy = entry.promised.round, entry.holder
	return nil
}

// recordFinish records that a key ran. This is a fact whatever the replica
// voted, so a replica that may not vote records it too.
func (m *Machine) recordFinish(state *serviceState, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) []Effect {
	expires := now.Add(m.config.retention())
	entry := state.table.findOrCreate(request.Key, now, expires, m.config.MaxKeys)
	if entry == nil {
		return []Effect{Log{Name: LogTableFull, Service: state.name, Count: len(state.table.records)}}
	}
	entry.extend(expires)
	entry.finished, entry.holder, entry.bodyDigest = true, request.Holder, request.BodyDigest
	state.table.storeResponse(request.Key, entry, request.Response, m.config.MaxResponseBytes, m.config.ResponseBudget)
	reply.Vote = wire.VoteNoted
	return nil
}

// recordRelease clears the vote for a holder that never runs. It also raises
// the promised ballot, so that requests of this holder still in transit are
// refused.
func (m *Machine) recordRelease(state *serviceState, request wire.ClaimRequest, reply *wire.ClaimReply, now time.Time) {
	reply.Vote = wire.VoteNoted
	entry := state.table.findOrCreate(request.Key, now, now.Add(m.config.retention()), m.config.MaxKeys)
	if entry == nil || entry.finished {
		return
	}
	if entry.holder == request.Holder {
		entry.holder, entry.round, entry.bodyDigest = "", 0, ""
	}
	after := ballot{round: request.Round + 1}
	if after.compare(entry.promised) > 0 {
		entry.promised = after
	}
}

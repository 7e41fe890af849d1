package claim

import (
	"cmp"
	"slices"
	"time"

	"sliphead/internal/wire"
)

// Bounds of copying.
const (
	minCopyRetryFactor      = 4   // first retry interval in multiples of Config.RetryInterval; it doubles
	maxCopyRetryFactor      = 100 // longest retry interval in multiples of Config.RetryInterval
	settlePollsPerRetention = 16  // polls per retention period while all slots are recovered but priors remain
	maxRecordsPerPart       = 256 // records per message
)

// recovery is the progress of a replica that has lost its votes. The replica
// copies the records of each slot from others until every majority that its
// earlier process may have voted in includes one of the sources.
type recovery struct {
	requestNumber uint64                             // number of the last copy request
	requestedAt   time.Time                          // time of the last copy request
	retryDelay    time.Duration                      // delay before the next copy request
	urgent        bool                               // request copies although all slots are recovered: another replica has configurations that this one lacks
	sources       map[string]source                  // by worker, those whose copy is complete
	pendingParts  map[replyID]map[int]wire.ClaimCopy // received parts of incomplete copies
}

// replyID identifies one reply to a copy request. A request that is delivered
// twice gets two replies, whose parts must not be mixed.
type replyID struct {
	worker      string
	incarnation uint64
	serial      uint64
}

// source is a replica that has sent its copy, and so has this process's
// incarnation.
type source struct {
	incarnation uint64
	copiedSlots uint64               // slots that were copied
	ableSlots   uint64               // slots in which the source had all its own votes
	leftAt      map[string]time.Time // by digest, since when it has left earlier configurations
}

func (r *recovery) restart() {
	r.sources = make(map[string]source)
	r.pendingParts = make(map[replyID]map[int]wire.ClaimCopy)
	r.requestedAt, r.retryDelay = time.Time{}, 0
}

// requestCopies asks all other replicas for the slots in which this one may not
// vote. With all slots recovered it still asks, for no slots, while there are
// priors: the replies show who has left them.
func (m *Machine) requestCopies(state *serviceState, now time.Time) []Effect {
	if !m.isCopyDue(state, now) {
		return nil
	}
	state.recovery.urgent = false
	state.recovery.requestedAt = now
	state.recovery.retryDelay = min(max(2*state.recovery.retryDelay, minCopyRetryFactor*m.config.RetryInterval), maxCopyRetryFactor*m.config.RetryInterval)
	state.recovery.requestNumber = m.nextNumber()
	state.recovery.pendingParts = make(map[replyID]map[int]wire.ClaimCopy)
	request := wire.ClaimCopy{
		Number: state.recovery.requestNumber, Service: state.name, Worker: m.config.Worker, Incarnation: m.incarnation,
		Group: state.current.digest, Version: m.version, Slots: ^state.ableSlots,
	}
	state.exportPriors(&request, m.config.Worker, now)
	var effects []Effect
	for _, worker := range state.workers() {
		if worker == m.config.Worker {
			continue
		}
		effects = m.send(effects, state, worker, wire.Envelope{ClaimCopy: &request})
	}
	return effects
}

// isCopyDue reports whether to request copies now.
func (m *Machine) isCopyDue(state *serviceState, now time.Time) bool {
	since := now.Sub(state.recovery.requestedAt)
	switch {
	case state.recovery.urgent:
		return since >= minCopyRetryFactor*m.config.RetryInterval
	case state.readySlots() != allSlots:
		return since >= state.recovery.retryDelay
	default:
		return len(state.priors) > 0 && since >= m.config.retention()/settlePollsPerRetention
	}
}

// sendCopy replies to a recovering replica. It records the requester's
// incarnation before the reply is sent: this is what invalidates votes of the
// requester's earlier process when they are counted with later votes of this
// replica.
func (m *Machine) sendCopy(from string, request wire.ClaimCopy, now time.Time) []Effect {
	state := m.services[request.Service]
	if state == nil || !state.sameGroups(request.Group, request.Version) {
		return nil
	}
	state.mergeIncarnations(map[string]uint64{request.Worker: request.Incarnation})
	state.mergePriors(request, m.config.GroupSize, now)
	reply := wire.ClaimCopy{
		Number: request.Number, Service: state.name, Reply: true, Worker: m.config.Worker, Incarnation: m.incarnation,
		Able: state.ableSlots == allSlots, Group: state.current.digest, Version: m.version,
		Slots: request.Slots, AbleSlots: state.ableSlots, Serial: m.nextNumber(),
		Known: state.incarnationsOf(state.workers()), SinceMS: now.Sub(state.currentSince).Milliseconds(),
	}
	state.recordLeft(m.config.Worker, now.Sub(state.currentSince), now)
	state.exportPriors(&reply, m.config.Worker, now)
	records := m.exportRecords(state, request, now)
	reply.Parts = max(1, (len(records)+maxRecordsPerPart-1)/maxRecordsPerPart)
	var effects []Effect
	for part := range reply.Parts {
		message := reply
		message.Part = part
		message.Records = records[part*maxRecordsPerPart : min(len(records), (part+1)*maxRecordsPerPart)]
		outgoing := wire.Outgoing{To: from, Message: wire.Envelope{From: m.config.Node, ClaimCopy: &message}}
		effects = append(effects, Send{outgoing})
	}
	return effects
}

// exportRecords returns the records of the requested slots, sorted by key.
func (m *Machine) exportRecords(state *serviceState, request wire.ClaimCopy, now time.Time) []wire.ClaimRecord {
	var records []wire.ClaimRecord
	for key, entry := range state.table.records {
		if request.Slots&(1<<slotOf(key)) != 0 && entry.expires.After(now) {
			records = append(records, entry.export(state.name, key, now))
		}
	}
	slices.SortFunc(records, func(a, b wire.ClaimRecord) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// receiveCopy handles a part of a copy and merges the copy once it is complete.
func (m *Machine) receiveCopy(reply wire.ClaimCopy, now time.Time) []Effect {
	state := m.services[reply.Service]
	if state == nil || !state.sameGroups(reply.Group, reply.Version) || reply.Number != state.recovery.requestNumber {
		return nil
	}
	if replaced := m.raiseIncarnation(state, reply.Known); replaced != nil {
		return replaced
	}
	state.recordLeft(reply.Worker, time.Duration(reply.SinceMS)*time.Millisecond, now)
	id := replyID{reply.Worker, reply.Incarnation, reply.Serial}
	parts := state.recovery.pendingParts[id]
	if parts == nil {
		parts = make(map[int]wire.ClaimCopy)
		state.recovery.pendingParts[id] = parts
	}
	parts[reply.Part] = reply
	if len(parts) < reply.Parts {
		return nil
	}
	m.mergeCopy(state, parts, now)
	before := state.readySlots()
	m.updateReadySlots(state, now)
	if before != allSlots && state.readySlots() == allSlots {
		return []Effect{Log{Name: LogRecovered, Service: state.name, Count: len(state.table.records)}}
	}
	return nil
}

// raiseIncarnation handles the report of another process of the same worker
// with a greater incarnation, as after the clock went back. This process takes
// a greater one and restarts its recovery. It returns nil if there is no such
// process.
func (m *Machine) raiseIncarnation(state *serviceState, incarnations map[string]uint64) []Effect {
	if incarnations[m.config.Worker] <= m.incarnation {
		return nil
	}
	m.recoverWithIncarnation(incarnations[m.config.Worker] + m.incarnationStride)
	return []Effect{Log{Name: LogIncarnationRaised, Service: state.name, Count: 1}}
}

// mergeCopy merges a complete copy into the slots that are not recovered yet.
// Recovered slots are skipped: their records are this process's own votes.
func (m *Machine) mergeCopy(state *serviceState, parts map[int]wire.ClaimCopy, now time.Time) {
	first := parts[0]
	state.mergeIncarnations(first.Known)
	state.mergeIncarnations(map[string]uint64{first.Worker: first.Incarnation})
	left := state.mergePriors(first, m.config.GroupSize, now)
	for _, part := range parts {
		for _, copied := range part.Records {
			if state.isAble(slotOf(copied.Key)) {
				continue
			}
			expires := now.Add(time.Duration(copied.ExpiresMS) * time.Millisecond)
			entry := state.table.findOrCreate(copied.Key, now, expires, m.config.MaxKeys)
			if entry == nil {
				return // the table is full: the copy does not count
			}
			entry.extend(expires)
			entry.merge(copied)
		}
	}
	state.recovery.sources[first.Worker] = source{first.Incarnation, first.Slots, first.AbleSlots, left}
}

// updateReadySlots marks the slots for which enough other replicas have sent
// their copy. Those must have had all their own votes, unless no vote of an
// earlier process of this worker can matter any more (oldVotesExpired).
func (m *Machine) updateReadySlots(state *serviceState, now time.Time) {
	if state.readySlots() == allSlots {
		return
	}
	votesExpired := m.oldVotesExpired(now)
	for slot := range slotCount {
		if !state.isAble(slot) && m.isRecovered(state, slot, votesExpired, now) {
			state.ableSlots |= 1 << slot
		}
		if m.isAnnounced(state, state.current.groups[slot], votesExpired) {
			state.announcedSlots |= 1 << slot
		}
	}
}

// isAnnounced reports whether enough of the group have this process's
// incarnation, so that every majority would reject votes of an earlier process
// of the same worker that was paused and resumes.
func (m *Machine) isAnnounced(state *serviceState, replicas group, votesExpired bool) bool {
	notified := replicas.count(func(worker string) bool {
		src, found := state.recovery.sources[worker]
		return found && src.incarnation >= state.incarnations[worker] && worker != m.config.Worker
	})
	return notified >= replicas.requiredSources(m.config.Worker, votesExpired)
}

// oldVotesExpired reports whether no vote of an earlier process can matter any
// more.
func (m *Machine) oldVotesExpired(now time.Time) bool {
	beforeFirstVote := !m.config.Since.IsZero() && !m.started.Add(m.config.ClockSkew).After(m.config.Since)
	return beforeFirstVote || (!m.config.CopyOnly && now.Sub(m.started) >= m.config.retention())
}

// isRecovered reports whether the sources cover every required group of the
// slot. If the oldest prior is covered and cannot have been settled by any
// node, the other groups need not be: every attempt since has required its
// majority too.
func (m *Machine) isRecovered(state *serviceState, slot int, votesExpired bool, now time.Time) bool {
	if len(state.priors) > 0 && m.isCoveredByPrior(state, state.priors[0], slot, now) {
		return true
	}
	for _, replicas := range state.requiredGroups(slot, now, m.config.retention()) {
		sources := replicas.count(func(worker string) bool { return m.isValidSource(state, worker, slot, votesExpired) })
		needed := replicas.requiredSources(m.config.Worker, votesExpired)
		if sources < needed || (votesExpired && !m.hasCopiesOfLive(state, replicas, slot)) {
			return false
		}
	}
	return true
}

// hasCopiesOfLive reports whether all live replicas of the group have sent a
// copy. The age of this process does not show which processes were replaced,
// and other replicas that lost their state may have lost that too.
func (m *Machine) hasCopiesOfLive(state *serviceState, replicas group, slot int) bool {
	for _, worker := range replicas {
		if state.liveNodeByWorker[worker] != "" && worker != m.config.Worker && !m.isValidSource(state, worker, slot, true) {
			return false
		}
	}
	return true
}

// isValidSource reports whether a worker's copy of the slot counts. The copy of
// a replaced process does not, nor, unless votesExpired, one that lacks votes.
func (m *Machine) isValidSource(state *serviceState, worker string, slot int, votesExpired bool) bool {
	bit := uint64(1) << slot
	src, found := state.recovery.sources[worker]
	if !found || worker == m.config.Worker || src.incarnation < state.incarnations[worker] {
		return false
	}
	return src.copiedSlots&bit != 0 && (votesExpired || src.ableSlots&bit != 0)
}

// isCoveredByPrior reports whether the sources cover the slot's group in the
// oldest prior with replicas that left it too recently for it to be settled.
func (m *Machine) isCoveredByPrior(state *serviceState, oldest *prior, slot int, now time.Time) bool {
	replicas := oldest.groups[slot]
	sources := replicas.count(func(worker string) bool {
		left, found := state.recovery.sources[worker].leftAt[oldest.digest]
		return found && now.Sub(left) < m.config.retention() && m.isValidSource(state, worker, slot, false)
	})
	return sources >= replicas.requiredSources(m.config.Worker, false)
}

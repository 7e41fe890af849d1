package claim

import (
	"cmp"
	"slices"
	"time"

	"sliphead/internal/wire"
)

// Bounds of copying.
const (
	firstCopyFactor = 4   // copies are asked for again after so many Config.Retry at first
	lastCopyFactor  = 100 // and after so many at last; the time doubles
	settleShare     = 16  // asks in the life of a record while only earlier configurations are to be settled
	copyPartRecords = 256 // records in one message
)

// recovery is how far a replica that has forgotten its votes has come. It
// copies the records of each slot from others until no majority that its
// earlier process may have been part of lacks one of them.
type recovery struct {
	number  uint64                              // of the copies asked for last
	asked   time.Time                           // when they were asked for last
	pause   time.Duration                       // until they are asked for again
	urgent  bool                                // ask although all slots are recovered: others know more configurations
	sources map[string]source                   // by worker, those whose copy has come whole
	parts   map[answerID]map[int]wire.ClaimCopy // parts of the copies under way
}

// answerID tells the answers to a copy apart: a request that arrives twice is
// answered twice, and their parts must not be mixed.
type answerID struct {
	worker      string
	incarnation uint64
	serial      uint64
}

// source is a replica that has given its copy and so knows this incarnation.
type source struct {
	incarnation uint64
	slots       uint64               // slots that were copied
	able        uint64               // slots in which the source itself had lost nothing
	left        map[string]time.Time // by digest, since when it has left earlier configurations
}

func (r *recovery) restart() {
	r.sources = make(map[string]source)
	r.parts = make(map[answerID]map[int]wire.ClaimCopy)
	r.asked, r.pause = time.Time{}, 0
}

// askCopies asks all others for the slots in which this replica may not vote.
// With all slots recovered it still asks, for no slots, while earlier
// configurations count: the answers tell who has left them.
func (m *Machine) askCopies(held *service, now time.Time) []Effect {
	if !m.isCopyDue(held, now) {
		return nil
	}
	held.recovery.urgent = false
	held.recovery.asked = now
	held.recovery.pause = min(max(2*held.recovery.pause, firstCopyFactor*m.config.Retry), lastCopyFactor*m.config.Retry)
	held.recovery.number = m.nextNumber()
	held.recovery.parts = make(map[answerID]map[int]wire.ClaimCopy)
	request := wire.ClaimCopy{
		Number: held.recovery.number, Service: held.name, Worker: m.config.Worker, Incarnation: m.incarnation,
		Group: held.current.digest, Version: m.version, Slots: ^held.able,
	}
	held.exportPriors(&request, m.config.Worker, now)
	var effects []Effect
	for _, worker := range held.workers() {
		if worker == m.config.Worker {
			continue
		}
		effects = m.send(effects, held, worker, wire.Envelope{ClaimCopy: &request})
	}
	return effects
}

// isCopyDue reports whether to ask for copies now.
func (m *Machine) isCopyDue(held *service, now time.Time) bool {
	since := now.Sub(held.recovery.asked)
	switch {
	case held.recovery.urgent:
		return since >= firstCopyFactor*m.config.Retry
	case held.ready() != allSlots:
		return since >= held.recovery.pause
	default:
		return len(held.priors) > 0 && since >= m.config.hold()/settleShare
	}
}

// giveCopy answers another replica that recovers. Noting the asker's
// incarnation before its answer leaves is what makes votes of the asker's
// earlier process count no longer beside later votes of this replica.
func (m *Machine) giveCopy(from string, request wire.ClaimCopy, now time.Time) []Effect {
	held := m.services[request.Service]
	if held == nil || !held.sameGroups(request.Group, request.Version) {
		return nil
	}
	held.learnKnown(map[string]uint64{request.Worker: request.Incarnation})
	held.learnPriors(request, m.config.GroupSize, now)
	reply := wire.ClaimCopy{
		Number: request.Number, Service: held.name, Reply: true, Worker: m.config.Worker, Incarnation: m.incarnation,
		Able: held.able == allSlots, Group: held.current.digest, Version: m.version,
		Slots: request.Slots, AbleSlots: held.able, Serial: m.nextNumber(),
		Known: held.knownOf(held.workers()), SinceMS: now.Sub(held.since).Milliseconds(),
	}
	held.noteLeft(m.config.Worker, now.Sub(held.since), now)
	held.exportPriors(&reply, m.config.Worker, now)
	records := m.exportRecords(held, request, now)
	reply.Parts = max(1, (len(records)+copyPartRecords-1)/copyPartRecords)
	var effects []Effect
	for part := range reply.Parts {
		message := reply
		message.Part = part
		message.Records = records[part*copyPartRecords : min(len(records), (part+1)*copyPartRecords)]
		outgoing := wire.Outgoing{To: from, Message: wire.Envelope{From: m.config.Node, ClaimCopy: &message}}
		effects = append(effects, Send{outgoing})
	}
	return effects
}

// exportRecords returns the records of the slots asked for, in key order.
func (m *Machine) exportRecords(held *service, request wire.ClaimCopy, now time.Time) []wire.ClaimRecord {
	var records []wire.ClaimRecord
	for key, entry := range held.table.records {
		if request.Slots&(1<<slotOf(key)) != 0 && entry.expires.After(now) {
			records = append(records, entry.export(held.name, key, now))
		}
	}
	slices.SortFunc(records, func(a, b wire.ClaimRecord) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// takeCopy takes in a part of a copy; the copy counts once it is whole.
func (m *Machine) takeCopy(reply wire.ClaimCopy, now time.Time) []Effect {
	held := m.services[reply.Service]
	if held == nil || !held.sameGroups(reply.Group, reply.Version) || reply.Number != held.recovery.number {
		return nil
	}
	if replaced := m.raiseIncarnation(held, reply.Known); replaced != nil {
		return replaced
	}
	held.noteLeft(reply.Worker, time.Duration(reply.SinceMS)*time.Millisecond, now)
	id := answerID{reply.Worker, reply.Incarnation, reply.Serial}
	parts := held.recovery.parts[id]
	if parts == nil {
		parts = make(map[int]wire.ClaimCopy)
		held.recovery.parts[id] = parts
	}
	parts[reply.Part] = reply
	if len(parts) < reply.Parts {
		return nil
	}
	m.mergeCopy(held, parts, now)
	before := held.ready()
	m.updateAble(held, now)
	if before != allSlots && held.ready() == allSlots {
		return []Effect{Log{Name: LogRecovered, Service: held.name, Count: len(held.table.records)}}
	}
	return nil
}

// raiseIncarnation handles that a process of the same worker with a greater
// incarnation is known: the clock went back. This process takes a greater one
// and recovers anew. It returns nil if there is none.
func (m *Machine) raiseIncarnation(held *service, known map[string]uint64) []Effect {
	if known[m.config.Worker] <= m.incarnation {
		return nil
	}
	m.recoverAs(known[m.config.Worker] + m.stride)
	return []Effect{Log{Name: LogReplaced, Service: held.name, Count: 1}}
}

// mergeCopy joins a whole copy into the slots that are not recovered yet.
// Recovered slots are left alone: their records are this process's own votes.
func (m *Machine) mergeCopy(held *service, parts map[int]wire.ClaimCopy, now time.Time) {
	whole := parts[0]
	held.learnKnown(whole.Known)
	held.learnKnown(map[string]uint64{whole.Worker: whole.Incarnation})
	left := held.learnPriors(whole, m.config.GroupSize, now)
	for _, part := range parts {
		for _, copied := range part.Records {
			if held.isAble(slotOf(copied.Key)) {
				continue
			}
			expires := now.Add(time.Duration(copied.ExpiresMS) * time.Millisecond)
			entry := held.table.open(copied.Key, now, expires, m.config.MaxKeys)
			if entry == nil {
				return // too many keys to hold: the copy does not count
			}
			entry.extend(expires)
			entry.merge(copied)
		}
	}
	held.recovery.sources[whole.Worker] = source{whole.Incarnation, whole.Slots, whole.AbleSlots, left}
}

// updateAble opens the slots in which enough others have given their copy.
// Either those had lost nothing themselves, or this process is older than
// every vote that its earlier processes can have left.
func (m *Machine) updateAble(held *service, now time.Time) {
	if held.ready() == allSlots {
		return
	}
	aged := m.isAged(now)
	for slot := range slotCount {
		if !held.isAble(slot) && m.recovered(held, slot, aged, now) {
			held.able |= 1 << slot
		}
		if m.isAnnounced(held, held.current.groups[slot], aged) {
			held.announced |= 1 << slot
		}
	}
}

// isAnnounced reports whether so many of the group know this process that no
// majority can take an earlier process of the same worker, paused and woken,
// for it.
func (m *Machine) isAnnounced(held *service, one group, aged bool) bool {
	told := one.count(func(worker string) bool {
		given, have := held.recovery.sources[worker]
		return have && given.incarnation >= held.known[worker] && worker != m.config.Worker
	})
	return told >= one.sourcesNeeded(m.config.Worker, aged)
}

// isAged reports whether no vote of an earlier process can matter any more.
func (m *Machine) isAged(now time.Time) bool {
	beforeFirstVote := !m.config.Since.IsZero() && !m.started.Add(m.config.ClockSkew).After(m.config.Since)
	return beforeFirstVote || (!m.config.CopyOnly && now.Sub(m.started) >= m.config.hold())
}

// recovered reports whether the sources cover every group of the slot. The
// present group, and the groups of later priors, need not be covered when the
// oldest prior is and can't have been settled by anyone: every attempt since
// has asked for its majority too.
func (m *Machine) recovered(held *service, slot int, aged bool, now time.Time) bool {
	if len(held.priors) > 0 && m.guarded(held, held.priors[0], slot, now) {
		return true
	}
	for _, one := range held.groups(slot, now, m.config.hold()) {
		sources := one.count(func(worker string) bool { return m.isSource(held, worker, slot, aged) })
		needed := one.sourcesNeeded(m.config.Worker, aged)
		if sources < needed || (aged && !m.heardLive(held, one, slot)) {
			return false
		}
	}
	return true
}

// heardLive reports whether all replicas of the group that are said to be live
// have given a copy. Age alone says nothing of processes that were replaced,
// and others that forgot as well may not know of them.
func (m *Machine) heardLive(held *service, one group, slot int) bool {
	for _, worker := range one {
		if held.live[worker] != "" && worker != m.config.Worker && !m.isSource(held, worker, slot, true) {
			return false
		}
	}
	return true
}

// isSource reports whether a worker's copy of the slot counts.
func (m *Machine) isSource(held *service, worker string, slot int, aged bool) bool {
	bit := uint64(1) << slot
	given, have := held.recovery.sources[worker]
	if !have || worker == m.config.Worker || given.incarnation < held.known[worker] {
		return false
	}
	return given.slots&bit != 0 && (aged || given.able&bit != 0)
}

// guarded reports whether the sources cover the slot's group in the prior with
// replicas that left it so lately that it can't be settled.
func (m *Machine) guarded(held *service, oldest *prior, slot int, now time.Time) bool {
	one := oldest.groups[slot]
	sources := one.count(func(worker string) bool {
		left, known := held.recovery.sources[worker].left[oldest.digest]
		return known && now.Sub(left) < m.config.hold() && m.isSource(held, worker, slot, false)
	})
	return sources >= one.sourcesNeeded(m.config.Worker, false)
}

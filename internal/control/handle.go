package control

import (
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/logging"
	"sliphead/internal/membership"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// handle feeds one event to the state machines.
func (l *Loop) handle(event any, now time.Time) {
	l.noticePause(now)
	switch event := event.(type) {
	case tick:
		l.stepMembership(membership.Tick{}, now)
		l.stepDistribution(distribution.Tick{}, now)
		l.confirmInTime(now)
		l.reportClock(now)
	case transport.Received:
		l.route(event.Envelope, now)
	case sourceRead:
		l.stepDistribution(distribution.SourceRead{Set: event.set}, now)
	case sourceFailed:
		l.stepDistribution(distribution.SourceFailed{Err: event.err}, now)
	case machinesRead:
		l.readMachines(event.machines, now)
	case endpointChange:
		l.setEndpoint(event.state, now)
	case drainRequest:
		l.drain(now)
	case leaveRequest:
		l.leaving = true
		l.stepMembership(membership.Leave{}, now)
		close(event.done)
	case statusRequest:
		event.reply <- l.status(now)
	}
	l.renewLease(now)
	l.passMembers(now)
	l.publish(now)
}

// setEndpoint tells the fleet what the local worker's state is, unless a planned
// stop has begun: what is seen of the worker can't undo that.
func (l *Loop) setEndpoint(state wire.EndpointState, now time.Time) {
	if !l.draining {
		l.stepMembership(membership.SetEndpoint{State: state}, now)
	}
}

// drain announces that the local worker takes no new requests.
func (l *Loop) drain(now time.Time) {
	l.draining = true
	l.stepMembership(membership.SetEndpoint{State: wire.EndpointDraining}, now)
}

// noticePause detects that the process was stopped for longer than its lease:
// whatever it believes may be long past, so it holds no duty and no lease
// until a peer has confirmed its state. A wall clock set forward by more than
// the lease can't be told from a machine suspended, and counts as a pause.
func (l *Loop) noticePause(now time.Time) {
	gap := longestGap(l.lastSeen, now)
	l.lastSeen = now
	if gap <= l.config.Lease {
		return
	}
	logging.Event(l.config.Logger, "node.paused", logging.Fields{"gap_ms": gap.Milliseconds()})
	l.confirmation.begin(now)
	l.updateReadiness(now)
	l.stepMembership(membership.Resumed{}, now)
	l.stepDistribution(distribution.Resumed{}, now)
}

// renewLease lets traffic use the published view for another lease.
func (l *Loop) renewLease(now time.Time) {
	if l.fresh {
		l.config.Holder.Renew(now.Add(l.config.Lease))
	}
}

// route gives a message to the state machine whose protocol it belongs to.
func (l *Loop) route(message wire.Envelope, now time.Time) {
	switch {
	case message.Ping != nil, message.PingReq != nil, message.Ack != nil, message.Gossip != nil, message.Sync != nil:
		l.stepMembership(membership.Received{Message: message}, now)
		l.confirm(message, now)
	case message.Push != nil, message.Pull != nil, message.Staged != nil, message.Accepted != nil, message.Resource != nil:
		l.stepDistribution(distribution.Received{Message: message}, now)
	case message.ClaimRequest != nil, message.ClaimReply != nil, message.ClaimCopy != nil:
		l.config.Claims.Deliver(message)
	case message.Busy != nil:
		l.refusedBy(message.Busy, now)
	}
}

// stepMembership runs one step of membership and carries out its effects.
func (l *Loop) stepMembership(event membership.Event, now time.Time) {
	for _, effect := range l.membership.Step(event, now) {
		switch effect := effect.(type) {
		case membership.Send:
			l.confirmation.sent(effect.Message.Ping)
			l.transmit(effect.Outgoing, l.addressOf, nil)
		case membership.Changed:
			l.membersChanged = true
			l.publisher.dirty = true
			l.memberChanged(effect, now)
		case membership.PeerDigests:
			l.peerSaid(effect, now)
		}
	}
}

// peerSaid takes in what a peer's gossip says of its state.
func (l *Loop) peerSaid(effect membership.PeerDigests, now time.Time) {
	l.clock.observe(effect.From, effect.Digests.Clock, now)
	if _, known := l.membership.Lookup(effect.From); known {
		l.peerVersions[effect.From] = effect.Digests.Active
	}
	l.stepDistribution(distribution.PeerDigests{From: effect.From, Digests: effect.Digests}, now)
}

// memberChanged logs what became of a member.
func (l *Loop) memberChanged(change membership.Changed, now time.Time) {
	if change.Member.Status == change.Before.Status && change.Member.Endpoint == change.Before.Endpoint {
		return
	}
	logging.Event(l.config.Logger, "member.changed", logging.Fields{
		"member":     change.Member.Name,
		"status":     change.Member.Status,
		"endpoint":   change.Member.Endpoint,
		"at_unix_ms": now.UnixMilli(),
	})
}

// stepDistribution runs one step of distribution and carries out its effects.
func (l *Loop) stepDistribution(event distribution.Event, now time.Time) {
	for _, effect := range l.distribution.Step(event, now) {
		switch effect := effect.(type) {
		case distribution.Send:
			l.transmit(effect.Outgoing, l.addressOf, &l.encoded)
		case distribution.Activate:
			l.activate(effect, now)
		case distribution.Duty:
			l.dutyChanged(effect.Reader)
		case distribution.DigestsChanged:
			l.stepMembership(membership.SetDigests{Active: effect.Active, Staged: effect.Staged}, now)
		case distribution.Fresh:
			l.caughtUp = true
			l.updateReadiness(now)
		case distribution.Stale:
			l.caughtUp = false
			l.updateReadiness(now)
		case distribution.Log:
			l.logDistribution(effect)
		}
	}
}

// activate puts a version in force on this node.
func (l *Loop) activate(effect distribution.Activate, now time.Time) {
	if err := l.publisher.setActive(effect.Set); err != nil {
		logging.Problem(l.config.Logger, "version.unusable", err, nil)
		return
	}
	active := effect.Set.Version()
	logging.Event(l.config.Logger, "version.activated", logging.Fields{
		"version":    active.String(),
		"epoch":      active.Epoch,
		"revision":   active.Revision,
		"at_unix_ms": now.UnixMilli(),
	})
	l.publisher.publishNow(l.wallClock(now), now)
}

// updateReadiness decides whether the node may serve: it has caught up and,
// after a pause, a peer has confirmed its state.
func (l *Loop) updateReadiness(now time.Time) {
	ready := l.caughtUp && !l.confirmation.pending
	if ready == l.fresh {
		return
	}
	l.fresh = ready
	if !ready {
		return
	}
	logging.Event(l.config.Logger, "node.ready", logging.Fields{"version": l.distribution.Active().Version().String()})
	l.publisher.publishReady(l.wallClock(now), now)
	l.renewLease(now)
}

// publish resolves a new view when anything it depends on has changed.
func (l *Loop) publish(now time.Time) {
	l.publisher.publishIfDue(l.wallClock(now), now)
}

// wallClock returns the time by which schedules are read.
func (l *Loop) wallClock(now time.Time) time.Time { return now.Add(l.clock.correction()).Round(0) }

// logDistribution writes an event of the distribution machine to the log.
func (l *Loop) logDistribution(event distribution.Log) {
	if event.Name == distribution.LogActivated {
		return // activate logs it with the moment
	}
	fields := make(logging.Fields, len(event.Fields))
	for _, field := range event.Fields {
		fields[field.Key] = field.Value
	}
	if event.Err != nil {
		logging.Problem(l.config.Logger, event.Name, event.Err, fields)
		return
	}
	logging.Event(l.config.Logger, event.Name, fields)
}

// dutyChanged passes the duty to read the source on. When it begins and ends is
// distribution's to decide.
func (l *Loop) dutyChanged(reader bool) {
	logging.Event(l.config.Logger, "duty.changed", logging.Fields{"reader": reader})
	if l.config.OnReader != nil {
		l.config.OnReader(reader)
	}
}

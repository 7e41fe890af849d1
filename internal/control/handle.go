package control

import (
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/logging"
	"sliphead/internal/membership"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// handle passes one event to the state machines.
func (l *Loop) handle(event any, now time.Time) {
	l.detectPause(now)
	switch event := event.(type) {
	case tick:
		l.stepMembership(membership.Tick{}, now)
		l.stepDistribution(distribution.Tick{}, now)
		l.retryConfirmation(now)
		l.reportClock(now)
	case transport.Received:
		l.route(event.Envelope, now)
	case sourceRead:
		l.stepDistribution(distribution.SourceRead{Set: event.set}, now)
	case sourceFailed:
		l.stepDistribution(distribution.SourceFailed{Err: event.err}, now)
	case machinesRead:
		l.setMachineList(event.machines, now)
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
	l.propagateMembers(now)
	l.publish(now)
}

// setEndpoint announces the local worker's state to the fleet. It has no effect once
// a planned stop has begun, because a worker that still looks ready must not undo
// the drain.
func (l *Loop) setEndpoint(state wire.EndpointState, now time.Time) {
	if !l.draining {
		l.stepMembership(membership.SetEndpoint{State: state}, now)
	}
}

// drain announces that the local worker accepts no new requests.
func (l *Loop) drain(now time.Time) {
	l.draining = true
	l.stepMembership(membership.SetEndpoint{State: wire.EndpointDraining}, now)
}

// detectPause detects that the process was stopped for longer than its lease. Its
// state may then be stale, so it holds no reader duty and no lease until a peer has
// confirmed its state. A wall clock set forward by more than the lease also
// counts as a pause, because it can't be distinguished from a suspended machine.
func (l *Loop) detectPause(now time.Time) {
	gap := longestGap(l.lastEventAt, now)
	l.lastEventAt = now
	if gap <= l.config.Lease {
		return
	}
	logging.Event(l.config.Logger, "node.paused", logging.Fields{"gap_ms": gap.Milliseconds()})
	l.confirmation.begin(now)
	l.updateReadiness(now)
	l.stepMembership(membership.Resumed{}, now)
	l.stepDistribution(distribution.Resumed{}, now)
}

// renewLease extends the time for which traffic may use the published view.
func (l *Loop) renewLease(now time.Time) {
	if l.ready {
		l.config.Holder.Renew(now.Add(l.config.Lease))
	}
}

// route passes a message to the state machine of its protocol.
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
		l.handleBusy(message.Busy, now)
	}
}

// stepMembership runs one step of membership and executes its effects.
func (l *Loop) stepMembership(event membership.Event, now time.Time) {
	for _, effect := range l.membership.Step(event, now) {
		switch effect := effect.(type) {
		case membership.Send:
			l.confirmation.recordPing(effect.Message.Ping)
			l.transmit(effect.Outgoing, l.addressOf, nil)
		case membership.Changed:
			l.membersChanged = true
			l.publisher.dirty = true
			l.logMemberChange(effect, now)
		case membership.PeerDigests:
			l.observePeerDigests(effect, now)
		}
	}
}

// observePeerDigests records a peer's clock and active version, and passes its
// digests to distribution.
func (l *Loop) observePeerDigests(effect membership.PeerDigests, now time.Time) {
	l.clock.observe(effect.From, effect.Digests.Clock, now)
	if _, found := l.membership.Lookup(effect.From); found {
		l.peerVersions[effect.From] = effect.Digests.Active
	}
	l.stepDistribution(distribution.PeerDigests{From: effect.From, Digests: effect.Digests}, now)
}

// logMemberChange logs a change of a member's status or endpoint state.
func (l *Loop) logMemberChange(change membership.Changed, now time.Time) {
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

// stepDistribution runs one step of distribution and executes its effects.
func (l *Loop) stepDistribution(event distribution.Event, now time.Time) {
	for _, effect := range l.distribution.Step(event, now) {
		switch effect := effect.(type) {
		case distribution.Send:
			l.transmit(effect.Outgoing, l.addressOf, &l.pushCache)
		case distribution.Activate:
			l.activate(effect, now)
		case distribution.Duty:
			l.reportReaderDuty(effect.Reader)
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

// activate makes a version the active one on this node. A version that can't be
// compiled is logged and the previous one stays active.
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

// updateReadiness updates whether the node may serve: it must have caught up and,
// after a pause, a peer must have confirmed its state.
func (l *Loop) updateReadiness(now time.Time) {
	ready := l.caughtUp && !l.confirmation.pending
	if ready == l.ready {
		return
	}
	l.ready = ready
	if !ready {
		return
	}
	logging.Event(l.config.Logger, "node.ready", logging.Fields{"version": l.distribution.Active().Version().String()})
	l.publisher.publishReady(l.wallClock(now), now)
	l.renewLease(now)
}

// publish publishes a new view when one is due.
func (l *Loop) publish(now time.Time) {
	l.publisher.publishIfDue(l.wallClock(now), now)
}

// wallClock returns the corrected wall clock time, by which schedules are evaluated.
func (l *Loop) wallClock(now time.Time) time.Time { return now.Add(l.clock.correction()).Round(0) }

// logDistribution logs an event of the distribution machine.
func (l *Loop) logDistribution(event distribution.Log) {
	if event.Name == distribution.LogActivated {
		return // activate logs it, with the time
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

// reportReaderDuty reports that distribution has assigned or withdrawn the duty to
// read the source.
func (l *Loop) reportReaderDuty(reader bool) {
	logging.Event(l.config.Logger, "duty.changed", logging.Fields{"reader": reader})
	if l.config.OnReaderChanged != nil {
		l.config.OnReaderChanged(reader)
	}
}

package control

import (
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/wire"
)

// propagateMembers passes changed live members to the address book, the alternative
// peers and distribution. The cost grows with the fleet size, and in a mass restart
// every message brings changes, so this is done at most once per minPublishInterval.
func (l *Loop) propagateMembers(now time.Time) {
	if !l.membersChanged || now.Sub(l.membersPropagatedAt) < minPublishInterval {
		return
	}
	l.membersChanged = false
	l.membersPropagatedAt = now
	live := l.membership.Live()
	l.addresses.store(live)
	alternatives := chooseAlternatives(live, l.config.Membership.Self)
	l.alternativePeers.Store(&alternatives)
	l.prunePeerVersions()
	l.stepDistribution(distribution.Members{Live: live}, now)
}

// prunePeerVersions removes the versions that dead members reported.
func (l *Loop) prunePeerVersions() {
	for name := range l.peerVersions {
		if member, found := l.membership.Lookup(name); !found || member.Status == wire.StatusDead {
			delete(l.peerVersions, name)
		}
	}
}

// addressOf returns the address of a live member, "" for any other name. Unlike the
// address book it is never stale, but only the loop may call it.
func (l *Loop) addressOf(name string) string {
	member, found := l.membership.Lookup(name)
	if !found || member.Status == wire.StatusDead {
		return ""
	}
	return member.Peer
}

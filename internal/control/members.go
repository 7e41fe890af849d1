package control

import (
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/wire"
)

// passMembers tells the other parts who is live, when that has changed. Each
// time costs as much as the fleet is large, and in a mass restart every message
// brings changes: so it is done no more often than views are published.
func (l *Loop) passMembers(now time.Time) {
	if !l.membersChanged || now.Sub(l.membersPassed) < publishSpacing {
		return
	}
	l.membersChanged = false
	l.membersPassed = now
	live := l.membership.Live()
	l.addresses.store(live)
	others := chooseOthers(live, l.config.Membership.Self)
	l.others.Store(&others)
	l.forgetPeerVersions()
	l.stepDistribution(distribution.Members{Live: live}, now)
}

// forgetPeerVersions drops what dead members said.
func (l *Loop) forgetPeerVersions() {
	for name := range l.peerVersions {
		if member, known := l.membership.Lookup(name); !known || member.Status == wire.StatusDead {
			delete(l.peerVersions, name)
		}
	}
}

// addressOf returns the address of a live member, "" for anybody else. Unlike
// the address book it is never behind; only the loop may ask.
func (l *Loop) addressOf(name string) string {
	member, known := l.membership.Lookup(name)
	if !known || member.Status == wire.StatusDead {
		return ""
	}
	return member.Peer
}

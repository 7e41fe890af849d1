package control

import (
	"slices"
	"strings"
	"time"

	"sliphead/internal/membership"
	"sliphead/internal/wire"
)

// maxOthers bounds the members that a refused dialer is told of.
const maxOthers = 5

// Others returns a few live members whom a peer that this node refuses may ask
// instead, those of the own zone first. It may be called from any goroutine.
func (l *Loop) Others() []wire.Member {
	others := l.others.Load()
	if others == nil {
		return nil
	}
	return *others
}

// chooseOthers takes the members that follow self by name, round the end, so
// that nodes name different ones.
func chooseOthers(live []wire.Member, self wire.Member) []wire.Member {
	start, _ := slices.BinarySearchFunc(live, self.Name, func(member wire.Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	var near, far []wire.Member
	for offset := range live {
		member := live[(start+offset)%len(live)]
		switch {
		case member.Name == self.Name || member.Status != wire.StatusAlive:
		case member.Zone == self.Zone:
			near = append(near, member)
		case len(far) < maxOthers:
			far = append(far, member)
		}
		if len(near) == maxOthers {
			break
		}
	}
	chosen := append(near, far...)
	return chosen[:min(len(chosen), maxOthers)]
}

// readMachines takes the platform's list.
func (l *Loop) readMachines(machines []membership.ListedMachine, now time.Time) {
	l.listed = machines
	l.stepMembership(membership.MachineList{Machines: machines}, now)
}

// refusedBy proposes to membership the unknown members that a busy peer names,
// until the platform's list is read again.
func (l *Loop) refusedBy(busy *wire.Busy, now time.Time) {
	machines := slices.Clone(l.listed)
	for _, other := range busy.Others[:min(len(busy.Others), maxOthers)] {
		if _, known := l.membership.Lookup(other.Name); !known {
			machines = append(machines, membership.ListedMachine{Name: other.Name, Zone: other.Zone, Region: other.Region, Service: other.Service, Peer: other.Peer})
		}
	}
	if len(machines) > len(l.listed) {
		l.stepMembership(membership.MachineList{Machines: machines}, now)
	}
}

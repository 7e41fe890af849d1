package control

import (
	"slices"
	"strings"
	"time"

	"sliphead/internal/membership"
	"sliphead/internal/wire"
)

// maxAlternativePeers bounds the peers that a rejected dialer receives.
const maxAlternativePeers = 5

// AlternativePeers returns a few live members that a peer may try when this node rejects its
// connection, members of this node's zone first. It is safe for concurrent use.
func (l *Loop) AlternativePeers() []wire.Member {
	peers := l.alternativePeers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

// chooseAlternatives returns the members that follow self in the order of names,
// wrapping around, so that different nodes propose different members.
func chooseAlternatives(live []wire.Member, self wire.Member) []wire.Member {
	start, _ := slices.BinarySearchFunc(live, self.Name, func(member wire.Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	var sameZone, otherZones []wire.Member
	for offset := range live {
		member := live[(start+offset)%len(live)]
		switch {
		case member.Name == self.Name || member.Status != wire.StatusAlive:
		case member.Zone == self.Zone:
			sameZone = append(sameZone, member)
		case len(otherZones) < maxAlternativePeers:
			otherZones = append(otherZones, member)
		}
		if len(sameZone) == maxAlternativePeers {
			break
		}
	}
	chosen := append(sameZone, otherZones...)
	return chosen[:min(len(chosen), maxAlternativePeers)]
}

// setMachineList stores the platform's machine list and passes it to membership.
func (l *Loop) setMachineList(machines []membership.ListedMachine, now time.Time) {
	l.machineList = machines
	l.stepMembership(membership.MachineList{Machines: machines}, now)
}

// handleBusy passes the new members that a busy peer proposes to membership, in
// addition to the machine list. They are dropped when the list is next read.
func (l *Loop) handleBusy(busy *wire.Busy, now time.Time) {
	machines := slices.Clone(l.machineList)
	for _, other := range busy.Others[:min(len(busy.Others), maxAlternativePeers)] {
		if _, found := l.membership.Lookup(other.Name); !found {
			machines = append(machines, membership.ListedMachine{Name: other.Name, Zone: other.Zone, Region: other.Region, Service: other.Service, Peer: other.Peer})
		}
	}
	if len(machines) > len(l.machineList) {
		l.stepMembership(membership.MachineList{Machines: machines}, now)
	}
}

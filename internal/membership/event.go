package membership

import (
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets time pass. It is due every 25 to 50 ms.
type Tick struct{}

// Received is a message of a peer: Ping, PingReq, Ack, Gossip or Sync. Others
// are ignored.
type Received struct{ Message wire.Envelope }

// ListedMachine is one entry of the platform's list.
type ListedMachine struct {
	Name, Zone, Region, Service string
	Peer                        string // host:port
	Leaving                     bool
}

// MachineList is the platform's list, which may be empty, old or wrong. It
// only proposes addresses to probe.
type MachineList struct{ Machines []ListedMachine }

// SetEndpoint gives the state of the node's own worker.
type SetEndpoint struct{ State wire.EndpointState }

// SetDigests gives the versions that the node tells its peers.
type SetDigests struct{ Active, Staged version.Version }

// Leave says that the node is going to stop as planned.
type Leave struct{}

// Resumed says that the process was paused for longer than the lease.
type Resumed struct{}

func (Tick) event()        {}
func (Received) event()    {}
func (MachineList) event() {}
func (SetEndpoint) event() {}
func (SetDigests) event()  {}
func (Leave) event()       {}
func (Resumed) event()     {}

// Effect is an output of the machine, carried out by its owner.
type Effect interface{ effect() }

// Send asks for a message to be sent.
type Send struct{ wire.Outgoing }

// Changed tells that a member's register changed. Before is the zero Member
// when the member was not known.
type Changed struct{ Member, Before wire.Member }

// PeerDigests passes on what a peer said of its state.
type PeerDigests struct {
	From    string
	Digests wire.Digests
}

func (Send) effect()        {}
func (Changed) effect()     {}
func (PeerDigests) effect() {}

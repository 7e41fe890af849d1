package membership

import (
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick triggers all work that is due by time. The caller sends one every 25 to
// 50 ms.
type Tick struct{}

// Received is a message from a peer: Ping, PingReq, Ack, Gossip or Sync. Messages
// of other kinds are ignored.
type Received struct{ Message wire.Envelope }

// ListedMachine is one entry of the platform's machine list.
type ListedMachine struct {
	Name, Zone, Region, Service string
	Peer                        string // host:port
	Leaving                     bool
}

// MachineList is the platform's machine list, which may be empty, stale or wrong.
// It is used only as a source of addresses to contact.
type MachineList struct{ Machines []ListedMachine }

// SetEndpoint reports the endpoint state of the node's own worker.
type SetEndpoint struct{ State wire.EndpointState }

// SetDigests sets the versions that the node advertises to its peers.
type SetDigests struct{ Active, Staged version.Version }

// Leave announces a planned stop of the node.
type Leave struct{}

// Resumed reports that the process was paused for longer than the lease.
type Resumed struct{}

func (Tick) event()        {}
func (Received) event()    {}
func (MachineList) event() {}
func (SetEndpoint) event() {}
func (SetDigests) event()  {}
func (Leave) event()       {}
func (Resumed) event()     {}

// Effect is an output of the machine, executed by its caller.
type Effect interface{ effect() }

// Send requests that a message be sent.
type Send struct{ wire.Outgoing }

// Changed reports that a member's register changed. Before is the zero Member for
// a new member.
type Changed struct{ Member, Before wire.Member }

// PeerDigests reports the digests that a peer sent. An omitted staged version has
// been replaced by the active one.
type PeerDigests struct {
	From    string
	Digests wire.Digests
}

func (Send) effect()        {}
func (Changed) effect()     {}
func (PeerDigests) effect() {}

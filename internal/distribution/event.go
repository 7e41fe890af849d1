package distribution

import (
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets the machine act on the passage of time. It is due at least every
// 100 ms.
type Tick struct{}

// Members sets the live members sorted by name, this node included. Leaving
// members have StatusLeaving and get no duties. The machine retains the slice,
// which must not be changed afterwards.
type Members struct{ Live []wire.Member }

// SourceRead delivers what this node, as a reader, has read from the source.
// Values of secrets may be missing.
type SourceRead struct{ Set *snapshot.Set }

// SourceFailed reports that the source could not be read.
type SourceFailed struct{ Err error }

// Received delivers a message from a peer: Push, Pull, Staged, Accepted or
// Resource.
type Received struct{ Message wire.Envelope }

// PeerDigests delivers the versions that a peer advertises in its gossip.
type PeerDigests struct {
	From    string
	Digests wire.Digests
}

// Resumed reports that the process was paused for longer than its lease.
type Resumed struct{}

func (Tick) event()         {}
func (Members) event()      {}
func (SourceRead) event()   {}
func (SourceFailed) event() {}
func (Received) event()     {}
func (PeerDigests) event()  {}
func (Resumed) event()      {}

// Effect is an output of the machine, to be carried out by the caller in order.
type Effect interface{ effect() }

// Send requests that a message be sent by stream. Messages to several receivers
// share one pointer within the envelope, so that they can be encoded once.
type Send struct{ wire.Outgoing }

// Activate puts a set in force on this node.
type Activate struct{ Set *snapshot.Set }

// Duty reports that this node became or ceased to be a reader of the source.
type Duty struct{ Reader bool }

// DigestsChanged gives the versions to advertise in gossip.
type DigestsChanged struct{ Active, Staged version.Version }

// Fresh reports that this node has caught up after a start or a pause and has a
// version in force: it may serve.
type Fresh struct{}

// Stale reports that this node must not serve until the next Fresh.
type Stale struct{}

// Log requests that an event be logged.
type Log struct {
	Name   string
	Fields []Field // in the order in which they are written
	Err    error   // nil if the event is not an error
}

// Field is one key and value of a logged event.
type Field struct{ Key, Value string }

// Names of logged events.
const (
	LogRefused       = "version.refused"      // the version failed the validator
	LogEquivocation  = "version.equivocation" // the source gave two contents for one revision
	LogOlder         = "version.older"        // the source gave a version before the one in force
	LogStaged        = "version.staged"       // the version is complete and valid on this node
	LogAccepted      = "version.accepted"     // as the root: enough members have staged the version
	LogActivated     = "version.activated"    // the version is in force on this node
	LogWaiting       = "version.waiting"      // the version lacks bodies
	LogDeltaRefused  = "peer.delta-refused"   // a peer sent a delta whose result does not match its version
	LogCaughtUpAlone = "catchup.alone"        // caught up from the source without a report from any peer
	LogCaughtUp      = "catchup.done"         // caught up after a start or a pause
	LogPaused        = "catchup.paused"       // the process was paused for longer than its lease
)

func (Send) effect()           {}
func (Activate) effect()       {}
func (Duty) effect()           {}
func (DigestsChanged) effect() {}
func (Fresh) effect()          {}
func (Stale) effect()          {}
func (Log) effect()            {}

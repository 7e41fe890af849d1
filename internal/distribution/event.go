package distribution

import (
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets time pass. It is due at least every tenth of a second.
type Tick struct{}

// Members gives the live members sorted by name, this node included. Leaving
// members carry StatusLeaving and get no duties. The slice is kept and must not
// be changed afterwards.
type Members struct{ Live []wire.Member }

// SourceRead gives what this node, as a reader, has read from the source.
// Secrets' values may be missing.
type SourceRead struct{ Set *snapshot.Set }

// SourceFailed tells that the source could not be read.
type SourceFailed struct{ Err error }

// Received gives a message: Push, Pull, Staged, Accepted or Resource.
type Received struct{ Message wire.Envelope }

// PeerDigests gives what a peer's gossip says of the versions that it holds.
type PeerDigests struct {
	From    string
	Digests wire.Digests
}

// Resumed tells that the process was paused for longer than its lease.
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

// Send asks for a message to be sent by stream. Messages to several receivers
// share one pointer within the envelope, so that they can be encoded once.
type Send struct{ wire.Outgoing }

// Activate puts a set in force on this node.
type Activate struct{ Set *snapshot.Set }

// Duty tells that this node became or ceased to be a reader of the source.
type Duty struct{ Reader bool }

// DigestsChanged gives the versions that gossip shall announce.
type DigestsChanged struct{ Active, Staged version.Version }

// Fresh tells that this node has caught up after a start or a pause and has a
// version in force: it may serve.
type Fresh struct{}

// Stale tells that this node may not serve until the next Fresh.
type Stale struct{}

// Log asks for one event to be logged.
type Log struct {
	Name   string
	Fields []Field // in the order in which they are to be written
	Err    error   // nil when nothing failed
}

// Field is one key and value of a logged event.
type Field struct{ Key, Value string }

// The names of logged events.
const (
	LogRefused      = "version.refused"      // the version failed the validator
	LogEquivocation = "version.equivocation" // the source gave two contents for one revision
	LogOlder        = "version.older"        // the source gave a version before the one in force
	LogStaged       = "version.staged"       // the version is held whole
	LogAccepted     = "version.accepted"     // as the root: enough members hold the version
	LogActivated    = "version.activated"    // the version is in force here
	LogWaiting      = "version.waiting"      // the version lacks bodies
	LogBadDelta     = "peer.delta-refused"   // a peer sent a delta that does not add up
	LogAlone        = "catchup.alone"        // started from the source without a report from any peer
	LogCaughtUp     = "catchup.done"         // caught up after a start or a pause
	LogPaused       = "catchup.paused"       // the process was paused for longer than its lease
)

func (Send) effect()           {}
func (Activate) effect()       {}
func (Duty) effect()           {}
func (DigestsChanged) effect() {}
func (Fresh) effect()          {}
func (Stale) effect()          {}
func (Log) effect()            {}

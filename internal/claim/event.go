package claim

import (
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Tick lets time pass. It is due every Config.Retry/2 or so.
type Tick struct{}

// Claim asks whether a request may run. Body is a digest of the request.
// Holder names the attempt and is never used again, by any process.
type Claim struct {
	Service, Key, Body, Holder string
	Deadline                   time.Time
}

// Finish tells that the run of a holder has ended; a nil answer is not kept.
type Finish struct {
	Service, Key, Holder string
	Answer               []byte
}

// Release tells that a holder that was allowed to run did not and never will.
type Release struct{ Service, Key, Holder string }

// Cancelled tells that nobody waits for the decision on a holder any more: it
// has not run and never will.
type Cancelled struct{ Holder string }

// Received brings a claim message from another node.
type Received struct{ Message wire.Envelope }

// Configure brings the declared workers of each service and the nodes that are
// live beside them.
type Configure struct {
	Version version.Version
	Workers map[string][]Worker // by service
	Nodes   map[string]string   // node by worker
}

func (Tick) isEvent()      {}
func (Claim) isEvent()     {}
func (Finish) isEvent()    {}
func (Release) isEvent()   {}
func (Cancelled) isEvent() {}
func (Received) isEvent()  {}
func (Configure) isEvent() {}

// Effect is an output of a Machine.
type Effect interface{ isEffect() }

// Send is a message to be sent by stream.
type Send struct{ Outgoing wire.Outgoing }

// Decided is the decision on an attempt. Each attempt gets at most one.
type Decided struct {
	Holder   string
	Decision Decision
}

// Log is something for the log.
type Log struct {
	Name    LogName
	Service string
	Count   int // what it counts depends on the name
}

// LogName is the fixed name of a log event.
type LogName string

// The log events.
const (
	LogRecovered LogName = "claim.recovered"     // the replica may vote in all slots; Count is records held
	LogReplaced  LogName = "claim.incarnation"   // a process of the same worker with a later clock was known; Count is 1
	LogChanged   LogName = "claim.group-changed" // Count is earlier configurations that still count
	LogSettled   LogName = "claim.group-settled" // an earlier configuration no longer counts; Count is those left
	LogFull      LogName = "claim.table-full"    // a new key was refused; Count is records held
)

func (Send) isEffect()    {}
func (Decided) isEffect() {}
func (Log) isEffect()     {}

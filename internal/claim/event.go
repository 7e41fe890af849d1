package claim

import (
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Tick lets the machine act on the passage of time. It is due about every
// Config.RetryInterval/2.
type Tick struct{}

// Claim requests permission to run a request. BodyDigest is a digest of the
// request. Holder identifies the attempt and must never be reused, by any
// process.
type Claim struct {
	Service, Key, BodyDigest, Holder string
	Deadline                         time.Time
}

// Finish reports that the run of a holder has ended. A nil response is not
// stored.
type Finish struct {
	Service, Key, Holder string
	Response             []byte
}

// Release reports that a holder that was allowed to run did not run and never will.
type Release struct{ Service, Key, Holder string }

// Cancelled reports that nobody waits for the decision on a holder any more: it
// has not run and never will.
type Cancelled struct{ Holder string }

// Received delivers a claim message from another node.
type Received struct{ Message wire.Envelope }

// Configure sets the declared workers of each service and the live nodes beside
// them.
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

// Send requests that a message be sent by stream.
type Send struct{ Outgoing wire.Outgoing }

// Decided is the decision on an attempt. Each attempt gets at most one.
type Decided struct {
	Holder   string
	Decision Decision
}

// Log requests that an event be logged.
type Log struct {
	Name    LogName
	Service string
	Count   int // see the LogName constants
}

// LogName is the fixed name of a log event.
type LogName string

// The log events.
const (
	LogRecovered         LogName = "claim.recovered"     // the replica may vote in all slots; Count is the number of records
	LogIncarnationRaised LogName = "claim.incarnation"   // another process of the same worker has a higher incarnation; Count is 1
	LogGroupChanged      LogName = "claim.group-changed" // the declared workers changed; Count is the number of earlier configurations still required
	LogGroupSettled      LogName = "claim.group-settled" // an earlier configuration is no longer required; Count is the number that still are
	LogTableFull         LogName = "claim.table-full"    // a new key was refused; Count is the number of records
)

func (Send) isEffect()    {}
func (Decided) isEffect() {}
func (Log) isEffect()     {}

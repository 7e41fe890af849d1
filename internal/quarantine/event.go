package quarantine

import "time"

// Event is an input of the machine.
type Event interface{ event() }

// Tick reports the passing of time. Machine.Due returns when the next one is due.
type Tick struct{}

// WorkerCrashed reports that the local worker crashed while it ran these requests.
type WorkerCrashed struct {
	Instance string
	Requests []Fingerprint
}

// Answered reports that the local worker responded to a request that is suspected or on trial,
// which shows that the request does not crash workers.
type Answered struct {
	Fingerprint Fingerprint
	Instance    string
}

// TrialStarted reports that a request on trial is about to be sent to the local worker. It is
// recorded before the request is sent, so that a trial whose outcome nobody observes is not
// repeated.
type TrialStarted struct {
	Fingerprint Fingerprint
	Instance    string
}

// ReleaseOrdered is an operator's order to send a request to workers again.
type ReleaseOrdered struct {
	Fingerprint Fingerprint
	By          string
}

// Peers carries the addresses of all nodes in the catalog. The node's own address is ignored.
type Peers struct{ Addresses []string }

// MessageReceived delivers a message of another node.
type MessageReceived struct{ Message Message }

func (Tick) event()            {}
func (WorkerCrashed) event()   {}
func (Answered) event()        {}
func (TrialStarted) event()    {}
func (ReleaseOrdered) event()  {}
func (Peers) event()           {}
func (MessageReceived) event() {}

// Message is a message between two nodes.
type Message struct {
	From           string // address of the sender
	Sum            uint64 // of all records of the sender: nodes with equal sums have equal records
	RequestRecords bool   // whether the sender wants the receiver's records if the sums differ
	IsReply        bool   // whether it is a reply; a reply with RequestRecords gets a reply that ends the exchange
	Records        []Record
}

// Effect is an output of the machine, carried out by its caller.
type Effect interface{ effect() }

// Send sends a message to other nodes. Delivery is not guaranteed.
type Send struct {
	To      []string
	Message Message
}

// ViewChanged reports that Machine.View has changed.
type ViewChanged struct{}

// Log is an entry for the log.
type Log struct {
	Event       LogEvent
	Fingerprint Fingerprint
	Verdict     Verdict
	By          string        // source of the release
	Gap         time.Duration // for which the process was suspended
}

// LogEvent is the name of a log entry.
type LogEvent string

// The log entries.
const (
	EventHeld     LogEvent = "quarantine.held"     // the request is no longer sent to workers
	EventReleased LogEvent = "quarantine.released" // a held request is sent to workers again
	EventTrial    LogEvent = "quarantine.trial"    // one copy of a held request is sent to the local worker
	EventPaused   LogEvent = "quarantine.paused"   // the process was suspended; other nodes are queried for their records
)

func (Send) effect()        {}
func (ViewChanged) effect() {}
func (Log) effect()         {}

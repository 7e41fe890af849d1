package quarantine

import "time"

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets time pass. Machine.Due says when it is due.
type Tick struct{}

// WorkerCrashed tells that the worker beside this node ended while it ran these requests.
type WorkerCrashed struct {
	Instance string
	Requests []Fingerprint
}

// Answered tells that the worker beside this node answered a request that is suspected or
// on trial: it does not end workers.
type Answered struct {
	Fingerprint Fingerprint
	Instance    string
}

// TrialBegins tells that a request on trial is about to be sent to the worker beside this
// node. It counts before it is sent: one whose end nobody sees is not made again.
type TrialBegins struct {
	Fingerprint Fingerprint
	Instance    string
}

// LetGo is an operator's order to send a request to workers again.
type LetGo struct {
	Fingerprint Fingerprint
	By          string
}

// Peers are the addresses of the other nodes, as the catalog tells them.
type Peers struct{ Addresses []string }

// Heard is a message of another node.
type Heard struct{ Message Message }

func (Tick) event()          {}
func (WorkerCrashed) event() {}
func (Answered) event()      {}
func (TrialBegins) event()   {}
func (LetGo) event()         {}
func (Peers) event()         {}
func (Heard) event()         {}

// Message is what two nodes tell each other.
type Message struct {
	From    string // address of the sender
	Sum     uint64 // of all that the sender knows: equal sums are equal knowledge
	Ask     bool   // whether the sender wants what the receiver knows, if the sums differ
	Answer  bool   // whether it answers one that asked: if it asks itself, it is answered for the last time
	Records []Record
}

// Effect is an output of the machine, carried out by its owner.
type Effect interface{ effect() }

// Send sends a message to other nodes. It may be lost.
type Send struct {
	To      []string
	Message Message
}

// Changed tells that the view has changed.
type Changed struct{}

// Log is an event for the log.
type Log struct {
	Event       LogEvent
	Fingerprint Fingerprint
	Verdict     Verdict
	By          string        // who released it
	Gap         time.Duration // for which the process stood still
}

// LogEvent names an event of the log.
type LogEvent string

// The events of the log.
const (
	EventHeld     LogEvent = "quarantine.held"     // a request is sent to no worker from now on
	EventReleased LogEvent = "quarantine.released" // a request that was held is sent to workers again
	EventTrial    LogEvent = "quarantine.trial"    // one copy of a held request is sent to the worker beside this node
	EventPaused   LogEvent = "quarantine.paused"   // the process stood still; others are asked what they know
)

func (Send) effect()    {}
func (Changed) effect() {}
func (Log) effect()     {}

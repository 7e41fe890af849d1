package quota

import (
	"net/netip"
	"time"

	"sliphead/internal/catalog"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets time pass. Machine.Due says when it is due.
type Tick struct{}

// Configured tells what the catalog says now.
type Configured struct {
	Tenants []catalog.Tenant
	Hosts   []Host // nodes with a worker on record
}

// Wanted asks for a token for a request. A Decided with the same ID answers it, in the same
// step or in a later one.
type Wanted struct {
	ID     uint64 // of the request, never used again
	Tenant string
}

// Cancelled tells that nobody waits for the answer to a Wanted any more.
type Cancelled struct {
	ID     uint64
	Tenant string
}

// Returned gives the token of a request back that no worker has run or will run.
type Returned struct{ Tenant string }

// Heard is a message of another node.
type Heard struct {
	From    netip.AddrPort // to which an answer goes
	Message Message
}

func (Tick) event()       {}
func (Configured) event() {}
func (Wanted) event()     {}
func (Cancelled) event()  {}
func (Returned) event()   {}
func (Heard) event()      {}

// Kind tells messages apart.
type Kind int

// The kinds of message.
const (
	Question   Kind = iota + 1 // asks the stripe of Tenant for up to Tokens
	Answer                     // to the question ID: Tokens granted, or none for Wait, or none here at all
	Return                     // gives Tokens back to the stripe of Tenant
	Withdrawal                 // of the question ID: its sender will use no answer
)

// Message is what two nodes tell each other.
type Message struct {
	Kind   Kind
	ID     uint32 // of the question
	Tenant string
	Tokens int
	Wait   time.Duration // after which there is room again
	None   bool          // whether the node asked holds no stripe of the tenant
}

// Effect is an output of the machine, carried out by its owner.
type Effect interface{ effect() }

// Send sends a message to another node. It may be lost.
type Send struct {
	Host    string         // IP address of a node, "": To is meant
	To      netip.AddrPort // of one that is answered
	Message Message
}

// Decided answers a Wanted.
type Decided struct {
	ID         uint64
	Result     Result
	RetryAfter time.Duration // with Refused: after which there may be room
}

// Result is what becomes of a Wanted.
type Result string

// The results.
const (
	Granted Result = "granted" // a stripe granted a token
	Held    Result = "held"    // a token was in hand
	Alone   Result = "alone"   // no stripe answered; the token comes from what the node may spend alone
	Refused Result = "refused" // the tenant has no room

	// Unlimited means that the tenant has no limit any more.
	Unlimited Result = "unlimited"
)

// Unreachable tells that no stripe of a tenant answers. It is told once in a while.
type Unreachable struct{ Tenant string }

func (Send) effect()        {}
func (Decided) effect()     {}
func (Unreachable) effect() {}

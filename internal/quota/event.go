package quota

import (
	"net/netip"
	"time"

	"sliphead/internal/catalog"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick reports the passing of time. Machine.Due returns when the next one is due.
type Tick struct{}

// Configured carries the tenants and nodes of the current catalog.
type Configured struct {
	Tenants []catalog.Tenant
	Hosts   []Host // nodes with a worker in the catalog
}

// TokenRequested asks for a token for a request. A Decided effect with the same ID follows in
// the same step or in a later one.
type TokenRequested struct {
	ID     uint64 // of the request; never reused
	Tenant string
}

// Cancelled reports that the request with this ID no longer waits for a Decided.
type Cancelled struct {
	ID     uint64
	Tenant string
}

// TokenReturned returns the token of a request that no worker has run or will run.
type TokenReturned struct{ Tenant string }

// MessageReceived delivers a message of another node.
type MessageReceived struct {
	From    netip.AddrPort // address for the reply
	Message Message
}

func (Tick) event()            {}
func (Configured) event()      {}
func (TokenRequested) event()  {}
func (Cancelled) event()       {}
func (TokenReturned) event()   {}
func (MessageReceived) event() {}

// Kind is the kind of a message.
type Kind int

// The kinds of messages.
const (
	Query  Kind = iota + 1 // requests up to Tokens from the stripe of Tenant
	Reply                  // to the query ID: grants Tokens, or has none for Wait, or reports NoStripe
	Return                 // returns Tokens to the stripe of Tenant
	Cancel                 // cancels the query ID: the sender will not use a reply
)

// Message is a message between two nodes.
type Message struct {
	Kind     Kind
	ID       uint32 // of the query
	Tenant   string
	Tokens   int
	Wait     time.Duration // time until the next token is available
	NoStripe bool          // whether the queried node has no stripe of the tenant
}

// Effect is an output of the machine, carried out by its caller.
type Effect interface{ effect() }

// Send sends a message to another node. Delivery is not guaranteed.
type Send struct {
	Host    string         // IP address of a node; "": use To
	To      netip.AddrPort // address of the node that is replied to
	Message Message
}

// Decided is the decision on a TokenRequested.
type Decided struct {
	ID         uint64
	Result     Result
	RetryAfter time.Duration // with Rejected: time until a token may be available
}

// Result is the outcome of a TokenRequested.
type Result string

// The outcomes.
const (
	Granted  Result = "granted" // a stripe granted a token
	Cached   Result = "held"    // an unused token of an earlier grant was available on this node
	Fallback Result = "alone"   // no stripe replied; the token comes from the node's fallback share
	Rejected Result = "refused" // the tenant has no token left

	// Unlimited means that the tenant no longer has a limit.
	Unlimited Result = "unlimited"
)

// Unreachable reports that no stripe of a tenant replies. It is emitted for a tenant at most
// once per unreachableInterval.
type Unreachable struct{ Tenant string }

func (Send) effect()        {}
func (Decided) effect()     {}
func (Unreachable) effect() {}

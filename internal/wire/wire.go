// Package wire holds the typed messages between nodes and their codec: one
// JSON object a line.
package wire

import (
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// Envelope is one message. Exactly one of the pointers is set.
type Envelope struct {
	From string `json:"from"` // name of the sending node

	// Membership, by datagram.
	Ping    *Ping    `json:"ping,omitempty"`
	PingReq *PingReq `json:"pingReq,omitempty"`
	Ack     *Ack     `json:"ack,omitempty"`
	Gossip  *Gossip  `json:"gossip,omitempty"`

	// Membership and distribution, by stream.
	Hello    *Hello    `json:"hello,omitempty"`
	Busy     *Busy     `json:"busy,omitempty"`
	Sync     *Sync     `json:"sync,omitempty"`
	Push     *Push     `json:"push,omitempty"`
	Pull     *Pull     `json:"pull,omitempty"`
	Staged   *Staged   `json:"staged,omitempty"`
	Accepted *Accepted `json:"accepted,omitempty"`
	Resource *Resource `json:"resource,omitempty"`

	// Claims, by stream.
	ClaimRequest *ClaimRequest `json:"claimRequest,omitempty"`
	ClaimReply   *ClaimReply   `json:"claimReply,omitempty"`
	ClaimCopy    *ClaimCopy    `json:"claimCopy,omitempty"`
}

// Outgoing is the effect "send this message". It is carried out by control.
type Outgoing struct {
	To       string // name of the receiving node, "" when only its address is known
	Address  string // host:port of its peer listener; "" lets control look the name up
	Datagram bool   // by datagram when true, by stream otherwise
	Message  Envelope
}

// Status is what the failure detector believes of a member.
type Status string

// The states of a member. At the same incarnation the later one wins.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusLeaving Status = "leaving" // said by the member itself
	StatusDead    Status = "dead"
)

// EndpointState is what a worker's node says of its worker.
type EndpointState string

// The states of an endpoint.
const (
	EndpointNone     EndpointState = ""         // the node has no worker (an edge)
	EndpointStarting EndpointState = "starting" // cold: takes no requests
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining" // takes no new requests, finishes those in flight
	EndpointGone     EndpointState = "gone"
)

// Member is a register written by the node it names and repeated by others.
// The greater (Start, Incarnation) wins; then Sequence decides the endpoint
// part and the order of Status the rest. In datagrams a register without Peer
// leaves out the constant part (Zone to Inbound), which the receiver holds.
type Member struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	Region      string        `json:"region,omitempty"`
	Service     string        `json:"service,omitempty"` // "" for an edge
	Worker      string        `json:"worker,omitempty"`  // declared worker beside this node, "" for an edge
	Peer        string        `json:"peer"`              // host:port, streams and datagrams
	Inbound     string        `json:"inbound,omitempty"` // host:port for requests from other nodes, "" for an edge
	Start       int64         `json:"start"`             // start of the process, Unix milliseconds
	Incarnation uint64        `json:"inc,omitempty"`
	Status      Status        `json:"status"`
	Endpoint    EndpointState `json:"ep,omitempty"`
	Sequence    uint64        `json:"seq,omitempty"`
}

// Digests are what probes and their answers say of their sender's state. Whoever
// is behind pulls. A zero Staged stands for the Active version.
type Digests struct {
	Active version.Version `json:"active,omitzero"` // version in force
	Staged version.Version `json:"staged,omitzero"` // newest version held whole, in force or not
	View   uint64          `json:"view,omitempty"`  // hash of the member registers
	Clock  int64           `json:"clock,omitempty"` // wall clock, Unix milliseconds
}

// Ping asks for an Ack.
type Ping struct {
	Number  uint64   `json:"n"`
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// PingReq asks the receiver to ping Target and to pass its Ack on.
type PingReq struct {
	Number  uint64   `json:"n"`
	Target  Member   `json:"target"`
	Updates []Member `json:"u,omitempty"`
}

// Ack answers a Ping.
type Ack struct {
	Number  uint64   `json:"n"`
	About   string   `json:"about"` // the node that is alive
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// Gossip spreads changed registers between probes. Its Digests hold the View
// only.
type Gossip struct {
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// Hello opens a stream.
type Hello struct {
	Member Member `json:"member"`
}

// Busy refuses a stream and says when to come back and whom else to ask.
type Busy struct {
	RetryAfterMS int64    `json:"retryAfterMs"`
	Others       []Member `json:"others,omitempty"`
}

// Sync gives member registers; Reply asks for the receiver's in return. With
// Buckets, hashes of the sender's view by parts, only the registers of the parts
// that differ are exchanged.
type Sync struct {
	Members []Member `json:"members"`
	Digests Digests  `json:"d"`
	Reply   bool     `json:"reply,omitempty"`
	Buckets []uint64 `json:"buckets,omitempty"`
}

// Push carries a version down the tree as a delta.
type Push struct {
	Delta snapshot.Delta `json:"delta"`
	Root  string         `json:"root,omitempty"` // the reader at the root of the tree; "" is a repair, not passed on
}

// Pull asks for the newest version, against the one that the sender holds.
type Pull struct {
	Have version.Version `json:"have"`
	// Missing are resources named by a staged version whose bodies are not held.
	Missing []snapshot.Key `json:"missing,omitempty"`
	// Number, when set, is given back in an Accepted with the version in force,
	// so that an answer is told from messages sent before the question.
	Number uint64 `json:"n,omitempty"`
}

// Staged tells the root that the sender holds a version whole.
type Staged struct {
	Version version.Version `json:"version"`
	Zone    string          `json:"zone"`
}

// Accepted tells that a version is held by enough members to be in force.
type Accepted struct {
	Version version.Version `json:"version"`
	Root    string          `json:"root,omitempty"` // passed on down this root's tree; "" is a repair
	Number  uint64          `json:"n,omitempty"`    // of the Pull that this answers
}

// Resource carries bodies that were missing.
type Resource struct {
	Resources []snapshot.Resource `json:"resources"`
}

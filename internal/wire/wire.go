// Package wire defines the messages between nodes and their encoding: one JSON object per
// line.
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

// Outgoing is the instruction to send a message. Package control carries it out.
type Outgoing struct {
	To       string // name of the receiving node, "" when only its address is known
	Address  string // host:port of its peer listener; "": control looks up the name
	Datagram bool   // by datagram when true, by stream otherwise
	Message  Envelope
}

// Status is the failure detector's state of a member.
type Status string

// The states of a member. For equal incarnations the one listed later takes precedence.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusLeaving Status = "leaving" // announced by the member itself
	StatusDead    Status = "dead"
)

// EndpointState is the state of a worker as its node reports it.
type EndpointState string

// The states of an endpoint.
const (
	EndpointNone     EndpointState = ""         // the node has no worker (an edge)
	EndpointStarting EndpointState = "starting" // takes no requests yet
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining" // takes no new requests, finishes those in flight
	EndpointGone     EndpointState = "gone"
)

// Member is the register of a node, written by that node and relayed by others. Of two
// registers of a node the one with the greater (Start, Incarnation) takes precedence; if these
// are equal, the greater Sequence decides the endpoint part, and the order of Status the rest.
// In datagrams a register without Peer omits the constant part (Zone to Inbound), which the
// receiver already has.
type Member struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	Region      string        `json:"region,omitempty"`
	Service     string        `json:"service,omitempty"` // "" for an edge
	Worker      string        `json:"worker,omitempty"`  // declared worker of this node, "" for an edge
	Peer        string        `json:"peer"`              // host:port, streams and datagrams
	Inbound     string        `json:"inbound,omitempty"` // host:port for requests from other nodes, "" for an edge
	Start       int64         `json:"start"`             // start of the process, Unix milliseconds
	Incarnation uint64        `json:"inc,omitempty"`
	Status      Status        `json:"status"`
	Endpoint    EndpointState `json:"ep,omitempty"`
	Sequence    uint64        `json:"seq,omitempty"`
}

// Digests summarize the sender's state in probes and their acknowledgements. A receiver with an
// older version pulls the newer one. A zero Staged means the Active version.
type Digests struct {
	Active version.Version `json:"active,omitzero"` // version in force
	Staged version.Version `json:"staged,omitzero"` // newest version that is complete, in force or not
	View   uint64          `json:"view,omitempty"`  // hash of the member registers
	Clock  int64           `json:"clock,omitempty"` // wall clock, Unix milliseconds
}

// Ping requests an Ack.
type Ping struct {
	Number  uint64   `json:"n"`
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// PingReq requests the receiver to ping Target and to relay its Ack.
type PingReq struct {
	Number  uint64   `json:"n"`
	Target  Member   `json:"target"`
	Updates []Member `json:"u,omitempty"`
}

// Ack acknowledges a Ping.
type Ack struct {
	Number  uint64   `json:"n"`
	About   string   `json:"about"` // the node that is alive
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// Gossip spreads changed registers between probes. Its Digests contain only the View.
type Gossip struct {
	Digests Digests  `json:"d"`
	Updates []Member `json:"u,omitempty"`
}

// Hello opens a stream.
type Hello struct {
	Member Member `json:"member"`
}

// Busy rejects a stream. It contains the delay before a retry and other nodes to connect to.
type Busy struct {
	RetryAfterMS int64    `json:"retryAfterMs"`
	Others       []Member `json:"others,omitempty"`
}

// Sync sends member registers; Reply requests the receiver's in return. With Buckets, hashes of
// parts of the sender's view, only the registers of the parts that differ are exchanged.
type Sync struct {
	Members []Member `json:"members"`
	Digests Digests  `json:"d"`
	Reply   bool     `json:"reply,omitempty"`
	Buckets []uint64 `json:"buckets,omitempty"`
}

// Push sends a version down the distribution tree as a delta.
type Push struct {
	Delta snapshot.Delta `json:"delta"`
	Root  string         `json:"root,omitempty"` // the reader at the root of the tree; "": a repair, not relayed
}

// Pull requests the newest version, as a delta against the one that the sender has.
type Pull struct {
	Have version.Version `json:"have"`
	// Missing are the resources named by a staged version whose bodies the sender lacks.
	Missing []snapshot.Key `json:"missing,omitempty"`
	// Number, when set, is returned in an Accepted with the version in force. It distinguishes
	// the reply from messages sent before the request.
	Number uint64 `json:"n,omitempty"`
}

// Staged reports to the root that the sender has a complete version.
type Staged struct {
	Version version.Version `json:"version"`
	Zone    string          `json:"zone"`
}

// Accepted announces that enough members hold a version for it to be in force.
type Accepted struct {
	Version version.Version `json:"version"`
	Root    string          `json:"root,omitempty"` // relayed down this root's tree; "": a repair
	Number  uint64          `json:"n,omitempty"`    // of the Pull that this replies to
}

// Resource sends bodies that were missing.
type Resource struct {
	Resources []snapshot.Resource `json:"resources"`
}

package wire

import "sliphead/internal/version"

// ClaimKind is a step of the claim protocol.
type ClaimKind string

// The steps of the claim protocol.
const (
	ClaimPromise ClaimKind = "promise" // asks for the replica's vote so far and for a promise to reject lower ballots
	ClaimPrepare ClaimKind = "prepare" // asks for a vote to run a key at a ballot
	ClaimFinish  ClaimKind = "finish"  // reports that the request has run, with its response if that is retained
	ClaimRelease ClaimKind = "release" // reports that the request was not run after all
)

// ClaimRequest is a request to a replica about one key.
type ClaimRequest struct {
	Kind       ClaimKind       `json:"kind"`
	Number     uint64          `json:"n"`
	Service    string          `json:"service"`
	Key        string          `json:"key"`
	BodyDigest string          `json:"body"`   // digest of method, path and body: the same key with another digest is rejected
	Holder     string          `json:"holder"` // unique name of the attempt that claims the key
	Version    version.Version `json:"version"`
	Response   []byte          `json:"answer,omitempty"`
	TTLMS      int64           `json:"ttlMs"`           // lifetime of the key
	Round      uint64          `json:"round,omitempty"` // the attempt's ballot is (Round, Holder); any holder may use round 0
	Group      string          `json:"group,omitempty"` // digest of the service's declared workers in the sender's configuration
}

// ClaimVote is the result in a replica's reply.
type ClaimVote string

// The votes of a replica.
const (
	VoteGranted  ClaimVote = "granted"  // the key is granted to the holder
	VoteTaken    ClaimVote = "taken"    // another attempt holds the key and may be running it
	VoteFinished ClaimVote = "finished" // the key has run; Response is set while it is retained
	VoteMismatch ClaimVote = "mismatch" // the key was used with another digest of method, path and body
	VoteNone     ClaimVote = "none"     // no vote: the replica has lost its state or is not a member of the group
	VotePromised ClaimVote = "promised" // the replica now rejects lower ballots; AcceptedBy is the holder that it voted for
	VoteNoted    ClaimVote = "noted"    // a finish or a release was recorded
)

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Number   uint64    `json:"n"`
	Key      string    `json:"key"`
	Vote     ClaimVote `json:"vote"`
	Response []byte    `json:"answer,omitempty"`

	Worker      string            `json:"worker,omitempty"`     // the replica
	Incarnation uint64            `json:"inc,omitempty"`        // of the replica's process
	Known       map[string]uint64 `json:"known,omitempty"`      // incarnations of the group's replicas, as the replica has observed them, by worker
	Promised    uint64            `json:"promised,omitempty"`   // highest round that it promised
	AcceptedBy  string            `json:"acceptedBy,omitempty"` // holder that it voted for, "" if none
	Priors      []string          `json:"priors,omitempty"`     // digests of earlier groups that still count for the replica
	SinceMS     int64             `json:"sinceMs,omitempty"`    // how long its group digest has been in force at the replica
	Group       string            `json:"group,omitempty"`      // the replica's group digest
	Version     version.Version   `json:"version"`              // the replica's configuration version
}

// ClaimRecord is the state of one key at a replica.
type ClaimRecord struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	BodyDigest string `json:"body"`
	Holder     string `json:"holder"`
	Finished   bool   `json:"finished,omitempty"`
	Response   []byte `json:"answer,omitempty"`
	ExpiresMS  int64  `json:"expiresMs"` // remaining lifetime, milliseconds

	Round          uint64 `json:"round,omitempty"`          // round of the vote for Holder
	PromisedRound  uint64 `json:"promisedRound,omitempty"`  // highest ballot promised: its round
	PromisedHolder string `json:"promisedHolder,omitempty"` // highest ballot promised: its holder
	Unsure         bool   `json:"unsure,omitempty"`         // votes of an earlier process are unknown, so the replica gives no vote on this key
}

// ClaimWorker is one declared worker of a group.
type ClaimWorker struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// ClaimCopy transfers records to a replica that has lost its state. Without Reply it is the
// request for records, with Reply it contains them.
type ClaimCopy struct {
	Number  uint64        `json:"n"`
	Service string        `json:"service"`
	Reply   bool          `json:"reply,omitempty"`
	Able    bool          `json:"able,omitempty"` // whether the replying replica may vote
	Records []ClaimRecord `json:"records,omitempty"`

	Worker       string            `json:"worker,omitempty"`       // the sender's worker
	Incarnation  uint64            `json:"inc,omitempty"`          // of the sender's process
	Group        string            `json:"group,omitempty"`        // the sender's group digest
	Version      version.Version   `json:"version"`                // the sender's configuration version
	Slots        uint64            `json:"slots,omitempty"`        // bit set of the key slots that are requested or transferred
	AbleSlots    uint64            `json:"ableSlots,omitempty"`    // bit set of the slots in which the replying replica may vote
	Known        map[string]uint64 `json:"known,omitempty"`        // incarnations that the replying replica has observed, by worker
	Priors       [][]ClaimWorker   `json:"priors,omitempty"`       // earlier declared groups that still count
	PriorsLeftMS []int64           `json:"priorsLeftMs,omitempty"` // time since the replying replica left each of these groups, -1 if unknown
	PriorsFirst  []version.Version `json:"priorsFirst,omitempty"`  // the versions that introduced these groups
	SinceMS      int64             `json:"sinceMs,omitempty"`
	Serial       uint64            `json:"serial,omitempty"` // same in all parts of one reply
	Part         int               `json:"part,omitempty"`   // index of this part, from 0
	Parts        int               `json:"parts,omitempty"`  // number of parts
}

package wire

import "sliphead/internal/version"

// ClaimKind is a step of the claim protocol.
type ClaimKind string

// The steps of the claim protocol.
const (
	ClaimPromise ClaimKind = "promise" // ask what is held and for a promise to refuse lower ballots
	ClaimPrepare ClaimKind = "prepare" // ask for votes for running a key at a ballot
	ClaimFinish  ClaimKind = "finish"  // tell that the run has ended, with its answer if kept
	ClaimRelease ClaimKind = "release" // tell that it was not run after all
)

// ClaimRequest asks a replica about one key.
type ClaimRequest struct {
	Kind    ClaimKind       `json:"kind"`
	Number  uint64          `json:"n"`
	Service string          `json:"service"`
	Key     string          `json:"key"`
	Body    string          `json:"body"`   // digest of method, path and body: the same key with another body is refused
	Holder  string          `json:"holder"` // unique name of the attempt
	Version version.Version `json:"version"`
	Answer  []byte          `json:"answer,omitempty"`
	TTLMS   int64           `json:"ttlMs"`           // the key's life
	Round   uint64          `json:"round,omitempty"` // ballot of the attempt is (Round, Holder); round 0 is open to all holders
	Group   string          `json:"group,omitempty"` // digest of the service's declared workers as the sender knows them
}

// ClaimVote is a replica's answer.
type ClaimVote string

// The votes of a replica.
const (
	VoteGranted  ClaimVote = "granted"  // the key is the holder's
	VoteTaken    ClaimVote = "taken"    // another attempt holds the key and may be running it
	VoteFinished ClaimVote = "finished" // the key ran; Answer is set while it is kept
	VoteMismatch ClaimVote = "mismatch" // the key was used for another body
	VoteNone     ClaimVote = "none"     // the replica has forgotten, or is not of the group, and gives no vote
	VotePromised ClaimVote = "promised" // the replica refuses lower ballots from now on; AcceptedBy says whom it voted for
	VoteNoted    ClaimVote = "noted"    // a finish or a release was taken in
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Number uint64    `json:"n"`
	Key    string    `json:"key"`
	Vote   ClaimVote `json:"vote"`
	Answer []byte    `json:"answer,omitempty"`

	Worker      string            `json:"worker,omitempty"`     // the replica
	Incarnation uint64            `json:"inc,omitempty"`        // of the replica's process
	Known       map[string]uint64 `json:"known,omitempty"`      // incarnations of the group's replicas that it knows of
	Promised    uint64            `json:"promised,omitempty"`   // highest round that it promised
	AcceptedBy  string            `json:"acceptedBy,omitempty"` // holder it voted for, "" if none
	Priors      []string          `json:"priors,omitempty"`     // digests of earlier groups that still count there
	SinceMS     int64             `json:"sinceMs,omitempty"`    // for how long its group digest has been in force there
	Group       string            `json:"group,omitempty"`      // its group digest
	Version     version.Version   `json:"version"`              // its configuration version
}

// ClaimRecord is one key as a replica holds it.
type ClaimRecord struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	Holder    string `json:"holder"`
	Finished  bool   `json:"finished,omitempty"`
	Answer    []byte `json:"answer,omitempty"`
	ExpiresMS int64  `json:"expiresMs"` // life left, milliseconds

	Round          uint64 `json:"round,omitempty"`          // round of the vote for Holder
	PromisedRound  uint64 `json:"promisedRound,omitempty"`  // highest ballot promised: its round
	PromisedHolder string `json:"promisedHolder,omitempty"` // and its holder
	Unsure         bool   `json:"unsure,omitempty"`         // the votes of an earlier process can't be told: no vote on this key
}

// ClaimWorker is one declared worker of a group configuration.
type ClaimWorker struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// ClaimCopy brings a replica that has forgotten up to date. A copy without
// Reply asks; a copy with Reply gives.
type ClaimCopy struct {
	Number  uint64        `json:"n"`
	Service string        `json:"service"`
	Reply   bool          `json:"reply,omitempty"`
	Able    bool          `json:"able,omitempty"` // whether the replier itself may vote
	Records []ClaimRecord `json:"records,omitempty"`

	Worker       string            `json:"worker,omitempty"`       // the sender's worker
	Incarnation  uint64            `json:"inc,omitempty"`          // of the sender's process
	Group        string            `json:"group,omitempty"`        // the sender's group digest
	Version      version.Version   `json:"version"`                // the sender\'s configuration version
	Slots        uint64            `json:"slots,omitempty"`        // bit set of key slots that are asked for or given
	AbleSlots    uint64            `json:"ableSlots,omitempty"`    // bit set of slots in which the replier may vote
	Known        map[string]uint64 `json:"known,omitempty"`        // incarnations that the replier knows of
	Priors       [][]ClaimWorker   `json:"priors,omitempty"`       // earlier declared workers that still count
	PriorsLeftMS []int64           `json:"priorsLeftMs,omitempty"` // for how long the replier has left each of them, -1 if it is not known
	PriorsFirst  []version.Version `json:"priorsFirst,omitempty"`  // the versions that brought them
	SinceMS      int64             `json:"sinceMs,omitempty"`
	Serial       uint64            `json:"serial,omitempty"` // same in all parts of one answer
	Part         int               `json:"part,omitempty"`   // number of this part, from 0
	Parts        int               `json:"parts,omitempty"`  // count of parts
}

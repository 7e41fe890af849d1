package wire

import "sliphead/internal/version"

// ClaimKind is a step of the claim protocol.
type ClaimKind string

// The steps of the claim protocol.
const (
	ClaimPrepare ClaimKind = "prepare" // ask for votes for running a key
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
	TTLMS   int64           `json:"ttlMs"` // the key's life
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
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Number uint64    `json:"n"`
	Key    string    `json:"key"`
	Vote   ClaimVote `json:"vote"`
	Answer []byte    `json:"answer,omitempty"`
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
}

// ClaimCopy brings a replica that has forgotten up to date. A copy without
// Reply asks; a copy with Reply gives.
type ClaimCopy struct {
	Number  uint64        `json:"n"`
	Service string        `json:"service"`
	Reply   bool          `json:"reply,omitempty"`
	Able    bool          `json:"able,omitempty"` // whether the replier itself may vote
	Records []ClaimRecord `json:"records,omitempty"`
}

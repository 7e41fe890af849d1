package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick advances the clock. It is due every 50 to 100 ms.
type Tick struct{}

// PollSucceeded is the store's response to the last Poll. The store had nothing newer at
// ConfirmedAt.
type PollSucceeded struct {
	Batch       catalog.Batch
	ConfirmedAt time.Time
}

// PollFailed reports that the last Poll failed.
type PollFailed struct {
	Err         error
	HistoryGone bool // whether the store no longer has the changes after the requested revision
	TimedOut    bool // whether nothing of the response arrived before the timeout
}

// RecordChecked reports that the store responded to CheckRecord. Whether the record exists again
// is learned from catalog updates.
type RecordChecked struct{ ID string }

// RecordCheckFailed reports that CheckRecord got no response.
type RecordCheckFailed struct{ ID string }

// Update is a message from the followed node: a batch, how long ago the store confirmed that
// nothing was newer, and which node's poll it confirmed.
type Update struct {
	From   string
	Reader string // address of the node that polled the store
	Serial uint64 // of that poll, see confirm.go; 0: unknown
	Batch  catalog.Batch
	Age    time.Duration
	// Preferred are the nodes that should read the store for the sender's zone.
	Preferred []string
}

// PeerLost reports that the stream from a followed node has ended.
type PeerLost struct{ Address string }

// PeerSeen reports that another node has contacted this one.
type PeerSeen struct {
	Address string
	Fast    bool // whether its link is fast
	// Preferred are the nodes that the sender prefers as readers for its zone.
	Preferred []string
}

func (Tick) event()              {}
func (PollSucceeded) event()     {}
func (PollFailed) event()        {}
func (RecordChecked) event()     {}
func (RecordCheckFailed) event() {}
func (Update) event()            {}
func (PeerLost) event()          {}
func (PeerSeen) event()          {}

// Effect is an output of the machine, carried out by its owner.
type Effect interface{ effect() }

// Poll requests a full snapshot from the store, or the changes after a revision; in that case the
// store holds the request for up to Wait until there is a change. It leads to PollSucceeded or
// PollFailed.
type Poll struct {
	Snapshot bool
	After    uint64
	Wait     time.Duration
}

// CheckRecord requests the record of one instance from the store. It leads to RecordChecked or
// RecordCheckFailed.
type CheckRecord struct{ ID string }

// Follow opens a stream from another node in place of the current one; "" closes the current one
// only.
type Follow struct{ Address string }

// Changed reports that the state has changed.
type Changed struct{}

// Announce sends an announcement to another node, which receives it as PeerSeen.
type Announce struct {
	Address   string
	Preferred []string // the nodes that this node prefers as readers: see Machine.Preferred
}

// Retain sets whether this node continues to serve its local worker although the worker's record
// has expired.
type Retain struct{ Retains bool }

// Log is a log event.
type Log struct {
	Event    LogEvent
	Peer     string
	Revision uint64 // of the store's response; 0: none
	Duration time.Duration
	Err      error
	Before   catalog.Point // of EventStoreRestored: the point of the catalog before the restore
	Missing  int           // of EventStoreRestored and EventRestoreSettled: workers without a record
	Doubted  int           // records and evacuation orders not applied yet, see catalog.State.Doubted
}

// LogEvent is the name of a log event.
type LogEvent string

// Log events.
const (
	EventPaused         LogEvent = "replication.paused"         // the process was suspended
	EventStoreLost      LogEvent = "replication.storeLost"      // a poll of the store failed
	EventStoreRegained  LogEvent = "replication.storeRegained"  // the store responds again
	EventHistoryGone    LogEvent = "replication.historyGone"    // the store no longer has the changes after the requested revision
	EventResponseOlder  LogEvent = "replication.answerOlder"    // the store's response is older than the catalog and is ignored
	EventStoreRestored  LogEvent = "replication.storeRestored"  // the store was restored from an older backup
	EventRestoreSettled LogEvent = "replication.restoreSettled" // the contents of the backup are applied from now on, even where they contradict the earlier state
	EventPeerLost       LogEvent = "replication.peerLost"       // a followed node is excluded for a time
	EventFollowing      LogEvent = "replication.following"      // the node follows another node
)

func (Poll) effect()        {}
func (CheckRecord) effect() {}
func (Follow) effect()      {}
func (Changed) effect()     {}
func (Announce) effect()    {}
func (Retain) effect()      {}
func (Log) effect()         {}

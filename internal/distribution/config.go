// Package distribution moves configuration versions through the fleet: which
// nodes read the source, how a version is pushed down a tree, when it is
// accepted and activated, how a node that missed it repairs itself, and when a
// started or resumed node has caught up. It is a pure state machine: it does no
// I/O, reads no clock and starts no goroutine.
//
// A version is staged when its set is held whole and passed the validator. The
// root of its tree accepts it once enough distinct members have staged it.
// A node activates a version only when it is accepted and staged, and never
// one that is before the version in force.
package distribution

import (
	"math/rand"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/wire"
)

// Config holds the settings of a Machine.
type Config struct {
	Self           wire.Member               // this node; name and zone must be set
	Holders        int                       // members that must hold a version before it is accepted
	Fanout         int                       // size of a tier of the tree over that of the tier above
	ReadersPerZone int                       // readers of the source in each zone
	MaxReaders     int                       // readers of the source in the whole fleet
	Lease          time.Duration             // the longest gap between two steps that is not a pause
	CatchUpTimeout time.Duration             // the longest wait for peers' digests after a start
	RetryInterval  time.Duration             // first wait before a push, a pull or a question is repeated
	RepairDelay    time.Duration             // wait for the tree before a version seen in gossip is pulled
	MaxWholePerSec int                       // whole sets sent in answer to pulls each second
	History        int                       // former versions kept to make deltas against; 0: whole sets are sent always
	Validate       func(*snapshot.Set) error // deterministic check of the declarations; secrets' values may be missing
	Random         *rand.Rand                // seeded by the caller, used by this machine alone
}

// DefaultConfig returns the settings used when operators name none. Self,
// Validate and Random are left to the caller.
func DefaultConfig() Config {
	return Config{
		Holders:        3,
		Fanout:         8,
		ReadersPerZone: 2,
		MaxReaders:     16,
		Lease:          2 * time.Second,
		CatchUpTimeout: 3 * time.Second,
		RetryInterval:  500 * time.Millisecond,
		RepairDelay:    200 * time.Millisecond,
		MaxWholePerSec: 16,
		History:        4,
	}
}

// The bounds on what a Machine keeps.
const (
	maxStaged        = 2  // whole versions that are not in force yet
	maxRefused       = 16 // refused versions, with reasons
	maxKnownAccepted = 4  // versions known to be accepted
	maxPushes        = 2  // pushes to be passed on once their version is whole
	maxSources       = 4  // peers known to hold a version that is to be pulled
	maxNotices       = 32 // readers that reported holding a version
	maxDeltas        = 8  // deltas kept for sharing
	maxMissingAsked  = 64 // bodies asked for in one pull
	maxBackoff       = 8  // the longest retry, in units of RetryInterval
)

// Package distribution distributes configuration versions through the fleet. It
// decides which nodes read the source, how a version is pushed down a tree,
// when it is accepted and activated, how a node that missed it pulls it, and
// when a started or resumed node has caught up. It is a pure state machine: it
// does no I/O, reads no clock and starts no goroutine.
//
// A version is staged once its set is complete and has passed the validator.
// The root of its tree accepts it once enough distinct members have staged it.
// A node activates a version, that is, puts it in force, only when it is accepted
// and staged, and never one that is before the version in force.
package distribution

import (
	"math/rand"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/wire"
)

// Config holds the settings of a Machine.
type Config struct {
	Self              wire.Member               // this node; name and zone must be set
	Holders           int                       // members that must have staged a version before it is accepted
	Fanout            int                       // ratio of the size of a tier of the tree to that of the tier above
	ReadersPerZone    int                       // readers of the source in each zone
	MaxReaders        int                       // readers of the source in the whole fleet
	Lease             time.Duration             // longest gap between two steps that is not a pause
	CatchUpTimeout    time.Duration             // longest wait for the reports of peers after a start
	RetryInterval     time.Duration             // first delay before a push, pull or query is repeated
	RepairDelay       time.Duration             // delay before a version seen in gossip is pulled, to let the tree deliver it
	MaxFullSetsPerSec int                       // full sets sent in reply to pulls per second
	History           int                       // former versions retained as bases of deltas; 0 means that full sets are always sent
	Validate          func(*snapshot.Set) error // deterministic check of the declarations; values of secrets may be missing
	Random            *rand.Rand                // seeded by the caller; used only by this machine
}

// DefaultConfig returns the default settings. The caller must set Self,
// Validate and Random.
func DefaultConfig() Config {
	return Config{
		Holders:           3,
		Fanout:            8,
		ReadersPerZone:    2,
		MaxReaders:        16,
		Lease:             2 * time.Second,
		CatchUpTimeout:    3 * time.Second,
		RetryInterval:     500 * time.Millisecond,
		RepairDelay:       200 * time.Millisecond,
		MaxFullSetsPerSec: 16,
		History:           4,
	}
}

// Bounds on the state of a Machine.
const (
	maxStaged        = 2  // complete versions that are not in force yet
	maxRefused       = 16 // refused versions, with reasons
	maxAccepted      = 4  // versions recorded as accepted that are not staged
	maxPendingPushes = 2  // pushes to be forwarded once their version is complete
	maxRepairSources = 4  // peers recorded as having the version to be pulled
	maxStagedReports = 32 // members recorded as having staged a version
	maxDeltas        = 8  // deltas cached for several receivers
	maxBodiesPerPull = 64 // bodies requested in one pull
	maxBackoff       = 8  // longest retry delay in units of RetryInterval
)

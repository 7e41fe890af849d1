package membership

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/wire"
)

// Profile selects a set of default settings.
type Profile string

// The profiles differ in the gossip interval: ProfileConvergence gives the shorter
// convergence time, ProfileBytes the lower control traffic.
const (
	ProfileConvergence Profile = "convergence"
	ProfileBytes       Profile = "bytes"
)

// Config holds the settings of a Machine.
type Config struct {
	// Self is the node's own register. Name, Zone and Peer must be set, and
	// Start must be the time at which the process started.
	Self wire.Member
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a direct probe is followed by indirect
	// probes. The indirect probes get twice this time.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute in a small fleet.
	// It grows with the logarithm of the fleet size, up to a factor of two.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip datagrams. No
	// datagram is sent while no update is queued.
	GossipInterval time.Duration
	// IndirectProbes is the number of peers that are asked to probe a member whose
	// direct probe timed out.
	IndirectProbes int
	// GossipFanout is the number of peers that receive a datagram in one round.
	GossipFanout int
	// MaxUpdates bounds the number of registers in one datagram. The size of the
	// datagram is bounded as well.
	MaxUpdates int
	// Retransmit is the factor λ: each node transmits a changed register about
	// λ·log2(n) times, where n is the fleet size.
	Retransmit float64
	// RepairAfter is how long the view hashes of all peers must differ from this
	// node's before registers are compared over a stream. RepairInterval is the
	// minimum time between two such repairs.
	RepairAfter, RepairInterval time.Duration
	// ReconnectInterval is the mean time between two pings to addresses without a
	// live member: dead members, seeds and entries of the machine list.
	ReconnectInterval time.Duration
	// TombstoneLife is how long the register of a dead member is retained.
	TombstoneLife time.Duration
	// Seeds are peer addresses (host:port) for joining the fleet.
	Seeds []string
	// Random is the source of all random choices, so that runs are reproducible.
	Random *rand.Rand
}

// DefaultConfig returns the settings of a profile. An unknown profile gets those
// of ProfileConvergence. The caller sets Self, Seeds and Random.
func DefaultConfig(profile Profile) Config {
	config := Config{
		ProbeInterval:     time.Second,
		ProbeTimeout:      250 * time.Millisecond,
		SuspicionTimeout:  1500 * time.Millisecond,
		GossipInterval:    50 * time.Millisecond,
		IndirectProbes:    3,
		GossipFanout:      3,
		MaxUpdates:        16,
		Retransmit:        1,
		RepairAfter:       2 * time.Second,
		RepairInterval:    3 * time.Second,
		ReconnectInterval: 2 * time.Second,
		TombstoneLife:     2 * time.Hour,
	}
	if profile == ProfileBytes {
		config.GossipInterval = 500 * time.Millisecond
	}
	return config
}

// Bounds that are not configurable.
const (
	maxDatagramBytes       = 1200             // bytes, below the usual path MTU
	maxProbesPerInterval   = 8                // maximum probes per probe interval while several members are suspect
	maxRelays              = 256              // maximum probes in progress on behalf of other nodes
	maxJoinTargets         = 3                // maximum addresses contacted in one join attempt
	joinBackoff            = time.Second      // base of the exponential backoff between join attempts
	maxJoinBackoff         = 10 * time.Second // upper bound of that backoff
	minViewMismatches      = 3                // consecutive view mismatches before a repair
	compactAfter           = 30 * time.Second // age from which a register is gossiped without its constant part
	backlogThreshold       = 64               // queued updates above which retransmissions are reduced
	maxBacklogRetransmits  = 5                // transmissions per update above that threshold
	lowPriorityRetransmits = 2                // transmissions of an update that most peers have or detect themselves
	maxSyncProbes          = 8                // maximum accusations in one sync for which all accused members are probed at once
	maxSyncSuspicionFactor = 4                // maximum multiple of the suspicion timeout for more accusations than that
	maxMembers             = 8192             // maximum registers, against a peer that invents names
	pauseFactor            = 2                // a gap between ticks of this many probe timeouts counts as a pause
)

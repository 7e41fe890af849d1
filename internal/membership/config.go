package membership

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/wire"
)

// Profile names a set of default settings.
type Profile string

// The profiles. They differ in how long changes are gathered before they are
// gossiped: convergence time against control bytes.
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
	// ProbeTimeout is how long a direct probe waits before helpers are asked;
	// they are given twice as long.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may take to refute in a small
	// fleet. It grows with the logarithm of the size, up to twice.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip datagrams. No
	// datagram is sent while there is nothing to tell.
	GossipInterval time.Duration
	// IndirectProbes is the number of helpers asked after a probe timed out.
	IndirectProbes int
	// GossipFanout is the number of peers gossiped to in one round.
	GossipFanout int
	// MaxUpdates bounds the registers in one datagram, besides its size.
	MaxUpdates int
	// Retransmit is λ: each node transmits a register up to λ·log2(n) times.
	Retransmit float64
	// RepairAfter is how long all peers' view hashes must differ from ours
	// before registers are compared by stream. RepairInterval is the least time
	// between two such repairs.
	RepairAfter, RepairInterval time.Duration
	// ReconnectInterval is the time between two probes of addresses that are
	// not live members: dead ones, seeds and the machine list's.
	ReconnectInterval time.Duration
	// TombstoneLife is how long a dead register is kept.
	TombstoneLife time.Duration
	// Seeds are peer addresses, host:port, to join by.
	Seeds []string
	// Random drives all choices, so that a run can be repeated.
	Random *rand.Rand
}

// DefaultConfig returns the settings of a profile; the convergence profile for
// an unknown one. Self, Seeds and Random are left to the caller.
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

// Bounds that are not settings.
const (
	datagramLimit       = 1200             // bytes, below the usual path MTU
	burstProbes         = 8                // most probes in one interval while members fail in numbers
	relayLimit          = 256              // probes on behalf of others under way
	joinTargets         = 3                // most addresses asked in one attempt to join
	joinBackoff         = time.Second      // first bound of the wait between attempts
	joinBackoffLimit    = 10 * time.Second // last bound
	repairObservations  = 3                // peers that must differ before a repair
	settledAfter        = 30 * time.Second // a register held so long is gossiped without its constant part
	backlog             = 64               // registers to transmit that count as very many
	backlogRetransmits  = 5                // how often each is transmitted then
	minorRetransmits    = 2                // how often what is no news is transmitted
	syncProbeLimit      = 8                // accusations by a sync that are probed at once
	syncSuspicionFactor = 4                // times the suspicion timeout, at most, for more than these
	memberLimit         = 8192             // registers held, against a peer that invents names
	stallFactor         = 2                // a gap between ticks of this many probe timeouts is a pause
)

package claim

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/defaults"
)

// Default values of Config.
const (
	DefaultKeyLife          = 10 * time.Minute
	DefaultMaxClaim         = 500 * time.Millisecond
	DefaultClockSkew        = 10 * time.Second
	DefaultRetryInterval    = 50 * time.Millisecond
	DefaultGroupSize        = 5
	DefaultMaxResponseBytes = 16 << 10
	DefaultResponseBudget   = 4 << 20
	DefaultMaxKeys          = 1 << 14
	DefaultMaxAttempts      = 1 << 12
)

// Config is the settings of a Machine. Zero values take the defaults.
type Config struct {
	Node   string // own node
	Worker string // declared worker beside the node

	// KeyLife is how long after its first submission a key is recognised.
	// Callers must not send the key again after that. A replica that cannot
	// recover by copying does not vote for at least this long. KeyLife, MaxClaim,
	// Since and GroupSize must be the same on all nodes.
	KeyLife time.Duration
	// MaxClaim bounds the time from Claim to its decision. Records are retained
	// for this much longer.
	MaxClaim time.Duration
	// Since is a point in time before which no replica votes; zero means none.
	// A replica whose process started at least ClockSkew before Since has no
	// earlier votes to lose, so the first start of a fleet need not wait for
	// KeyLife.
	Since     time.Time
	ClockSkew time.Duration // bound on the difference between the wall clocks of nodes
	// With CopyOnly a replica that cannot recover by copying never votes, not
	// even after KeyLife.
	CopyOnly bool

	RetryInterval    time.Duration // interval after which an unacknowledged message is resent
	GroupSize        int           // replicas per key
	MaxResponseBytes int           // largest response that is stored, in bytes
	ResponseBudget   int           // total size of the stored responses, in bytes
	MaxKeys          int           // records retained; new claims are refused when full
	MaxAttempts      int           // attempts in progress as coordinator; claims are refused when full

	Random *rand.Rand // source of jitter; used only by Step
}

// retention returns how long a record is retained: the life of the key, the
// time that an attempt may take, and a margin for clocks that run at different
// rates.
func (c *Config) retention() time.Duration {
	const driftShare = 16
	return c.KeyLife + c.MaxClaim + c.KeyLife/driftShare
}

// withDefaults returns the settings with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.KeyLife, DefaultKeyLife)
	defaults.Set(&c.MaxClaim, DefaultMaxClaim)
	defaults.Set(&c.ClockSkew, DefaultClockSkew)
	defaults.Set(&c.RetryInterval, DefaultRetryInterval)
	defaults.Set(&c.GroupSize, DefaultGroupSize)
	defaults.Set(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	defaults.Set(&c.ResponseBudget, DefaultResponseBudget)
	defaults.Set(&c.MaxKeys, DefaultMaxKeys)
	defaults.Set(&c.MaxAttempts, DefaultMaxAttempts)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

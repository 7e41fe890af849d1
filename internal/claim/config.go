package claim

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/defaults"
)

// Default values of Config.
const (
	DefaultKeyLife      = 10 * time.Minute
	DefaultMaxClaim     = 500 * time.Millisecond
	DefaultClockSkew    = 10 * time.Second
	DefaultRetry        = 50 * time.Millisecond
	DefaultGroupSize    = 5
	DefaultAnswerBytes  = 16 << 10
	DefaultAnswerBudget = 4 << 20
	DefaultMaxKeys      = 1 << 14
	DefaultMaxAttempts  = 1 << 12
)

// Config is the settings of a Machine. Zero values take the defaults.
type Config struct {
	Node   string // own node
	Worker string // declared worker beside the node

	// KeyLife is for how long after its first submission a key is recognised.
	// Callers must not send it again later. It is also for how long a replica
	// that can't copy gives no vote. It must be the same on all nodes, as must
	// MaxClaim, Since and GroupSize.
	KeyLife time.Duration
	// MaxClaim bounds the time from Claim to its decision. It is added to the
	// time for which records are held.
	MaxClaim time.Duration
	// Since is a point before which no replica votes, the zero time for none.
	// A replica whose process started ClockSkew or more before it has lost
	// nothing, so a first start need not wait for KeyLife.
	Since     time.Time
	ClockSkew time.Duration // bound on the differences between the nodes' wall clocks
	// CopyOnly keeps a replica that can't copy from voting also after KeyLife.
	CopyOnly bool

	Retry        time.Duration // time after which an unanswered message is sent again
	GroupSize    int           // replicas of a key
	AnswerBytes  int           // greatest kept answer, bytes
	AnswerBudget int           // all kept answers, bytes
	MaxKeys      int           // records held; when full, new claims are refused
	MaxAttempts  int           // attempts under way as coordinator; when full, claims are refused

	Random *rand.Rand // source of jitter; used by Step only
}

// hold returns for how long a record is held: the key's life, the time that an
// attempt may take, and a margin for clocks that run at different speeds.
func (c *Config) hold() time.Duration {
	const driftShare = 16
	return c.KeyLife + c.MaxClaim + c.KeyLife/driftShare
}

// withDefaults returns the settings with zero values replaced.
func (c Config) withDefaults() Config {
	defaults.Set(&c.KeyLife, DefaultKeyLife)
	defaults.Set(&c.MaxClaim, DefaultMaxClaim)
	defaults.Set(&c.ClockSkew, DefaultClockSkew)
	defaults.Set(&c.Retry, DefaultRetry)
	defaults.Set(&c.GroupSize, DefaultGroupSize)
	defaults.Set(&c.AnswerBytes, DefaultAnswerBytes)
	defaults.Set(&c.AnswerBudget, DefaultAnswerBudget)
	defaults.Set(&c.MaxKeys, DefaultMaxKeys)
	defaults.Set(&c.MaxAttempts, DefaultMaxAttempts)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

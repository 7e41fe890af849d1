package control

import (
	"slices"
	"time"

	"sliphead/internal/logging"
)

// Bounds of the clock estimate.
const (
	clockTolerance = time.Second // a clock that is off by less is left alone
	clockSamples   = 31          // peers whose offsets are kept
	clockQuorum    = 3           // peers needed before the own clock is doubted

	correctionReportSpacing = 10 * time.Second // between two lines of the log
)

// clockOffset estimates how far the own wall clock is off against the median of
// the peers' clocks, so that a schedule opens at the same moment everywhere.
// The median of many peers outvotes a few clocks that are wrong.
type clockOffset struct {
	byPeer map[string]time.Duration
	order  []string // oldest first
}

func newClockOffset() *clockOffset {
	return &clockOffset{byPeer: make(map[string]time.Duration)}
}

// observe notes a peer's clock, in Unix milliseconds, as seen at now.
func (c *clockOffset) observe(peer string, clock int64, now time.Time) {
	if clock == 0 {
		return
	}
	if _, known := c.byPeer[peer]; !known {
		c.order = append(c.order, peer)
	}
	c.byPeer[peer] = time.UnixMilli(clock).Sub(now)
	if len(c.order) > clockSamples {
		delete(c.byPeer, c.order[0])
		c.order = c.order[1:]
	}
}

// correction returns what to add to the own clock: zero while it agrees with
// the median of the peers within the tolerance.
func (c *clockOffset) correction() time.Duration {
	if len(c.byPeer) < clockQuorum {
		return 0
	}
	offsets := make([]time.Duration, 0, len(c.byPeer))
	for _, offset := range c.byPeer {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() <= clockTolerance {
		return 0
	}
	return median
}

// correctionReport is the correction that was logged last.
type correctionReport struct {
	correction time.Duration
	at         time.Time
}

// due reports whether a correction is news: it begins, ends or has changed by
// more than the tolerance. One that hovers at the tolerance is reported seldom.
func (r *correctionReport) due(correction time.Duration, now time.Time) bool {
	change := correction - r.correction
	edge := (correction == 0) != (r.correction == 0)
	if !edge && change.Abs() <= clockTolerance {
		return false
	}
	return r.at.IsZero() || now.Sub(r.at) >= correctionReportSpacing
}

// reportClock logs a correction of the clock that is news.
func (l *Loop) reportClock(now time.Time) {
	correction := l.clock.correction()
	if !l.reported.due(correction, now) {
		return
	}
	l.reported = correctionReport{correction: correction, at: now}
	logging.Event(l.config.Logger, "clock.corrected", logging.Fields{"offset_ms": correction.Milliseconds()})
}

// longestGap returns the time between two readings of the clock, by the
// monotonic clock or the wall clock, whichever moved further. The monotonic
// clock stands still while a machine is suspended; the wall clock may be set
// back.
func longestGap(before, after time.Time) time.Duration {
	monotonic := after.Sub(before)
	wall := after.Round(0).Sub(before.Round(0))
	return max(monotonic, wall)
}

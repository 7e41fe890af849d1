package control

import (
	"slices"
	"time"

	"sliphead/internal/logging"
)

// Bounds of the clock estimate.
const (
	clockTolerance  = time.Second // offsets up to this are not corrected
	maxClockSamples = 31          // number of peers whose offsets are stored
	minClockSamples = 3           // minimum number of peers for a correction

	minClockReportInterval = 10 * time.Second // minimum time between two log entries
)

// clockOffset estimates the offset of this node's wall clock from the median of the
// peers' clocks, so that a schedule opens at the same time on all nodes. A few wrong
// clocks do not affect the median of many peers.
type clockOffset struct {
	byPeer map[string]time.Duration
	order  []string // oldest first
}

func newClockOffset() *clockOffset {
	return &clockOffset{byPeer: make(map[string]time.Duration)}
}

// observe records a peer's clock, in Unix milliseconds, received at now.
func (c *clockOffset) observe(peer string, clock int64, now time.Time) {
	if clock == 0 {
		return
	}
	if _, found := c.byPeer[peer]; !found {
		c.order = append(c.order, peer)
	}
	c.byPeer[peer] = time.UnixMilli(clock).Sub(now)
	if len(c.order) > maxClockSamples {
		delete(c.byPeer, c.order[0])
		c.order = c.order[1:]
	}
}

// correction returns the duration to add to this node's clock. It is zero while the
// clock is within clockTolerance of the peers' median, or there are too few peers.
func (c *clockOffset) correction() time.Duration {
	if len(c.byPeer) < minClockSamples {
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

// correctionReport is the last logged correction.
type correctionReport struct {
	correction time.Duration
	at         time.Time
}

// due reports whether to log a correction: it has started, ended or changed by more
// than clockTolerance, and minClockReportInterval has passed. The interval limits
// the log entries for an offset that fluctuates around the tolerance.
func (r *correctionReport) due(correction time.Duration, now time.Time) bool {
	change := correction - r.correction
	startsOrEnds := (correction == 0) != (r.correction == 0)
	if !startsOrEnds && change.Abs() <= clockTolerance {
		return false
	}
	return r.at.IsZero() || now.Sub(r.at) >= minClockReportInterval
}

// reportClock logs the clock correction when a report is due.
func (l *Loop) reportClock(now time.Time) {
	correction := l.clock.correction()
	if !l.lastClockReport.due(correction, now) {
		return
	}
	l.lastClockReport = correctionReport{correction: correction, at: now}
	logging.Event(l.config.Logger, "clock.corrected", logging.Fields{"offset_ms": correction.Milliseconds()})
}

// longestGap returns the time between two clock readings, by the monotonic or the
// wall clock, whichever advanced further. The monotonic clock stops while the
// machine is suspended, and the wall clock may be set back.
func longestGap(before, after time.Time) time.Duration {
	monotonic := after.Sub(before)
	wall := after.Round(0).Sub(before.Round(0))
	return max(monotonic, wall)
}

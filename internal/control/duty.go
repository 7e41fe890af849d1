package control

import (
	"time"

	"sliphead/internal/logging"
)

// A node that has just started knows few peers, so that the rank that makes it a
// reader means little. When a whole fleet starts, all would read the source. So
// the duty begins only after a while, longer when no peer is known yet.
const (
	dutyWait      = time.Second
	dutyWaitAlone = 2 * time.Second
)

// duty is the duty to read the source.
type duty struct {
	held    bool      // by distribution
	begun   bool      // and passed on
	started time.Time // of the process
}

// dutyChanged takes a change of reader duty. One that ends does so at once.
func (l *Loop) dutyChanged(reader bool, now time.Time) {
	l.duty.held = reader
	l.passDuty(now)
}

// passDuty tells the reader of the source when its duty begins or ends.
func (l *Loop) passDuty(now time.Time) {
	if l.duty.held == l.duty.begun || (l.duty.held && l.dutyEarly(now)) {
		return
	}
	l.duty.begun = l.duty.held
	logging.Event(l.config.Logger, "duty.changed", logging.Fields{"reader": l.duty.begun})
	if l.config.OnReader != nil {
		l.config.OnReader(l.duty.begun)
	}
}

// dutyEarly reports whether this node may soon learn of others with more right
// to the duty.
func (l *Loop) dutyEarly(now time.Time) bool {
	wait := dutyWait
	if len(l.membership.Live()) <= 1 {
		wait = dutyWaitAlone
	}
	return !l.caughtUp && now.Sub(l.duty.started) < wait
}

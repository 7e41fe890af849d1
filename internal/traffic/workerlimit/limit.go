// Package workerlimit tracks the limits that workers advertise in their responses: the
// number of requests per second that a worker under pressure takes from all nodes together,
// for as long as it advertises it. The package is pure: the caller passes the time.
package workerlimit

import (
	"slices"
	"time"
)

// Limit is the limit in force of one start of a worker, computed from its responses.
// Responses arrive out of order, over many connections. An advertised value counts until a
// response arrives to a request that was sent after the value was received, since the
// worker wrote that response later. Of the values that count, the lowest is in force. The
// zero Limit is unlimited. It is not safe for concurrent use.
type Limit struct {
	records []record  // values that count, lowest and oldest first; a value that is not lower than a later one is dropped
	latest  time.Time // latest send time of a request that was responded to
	since   time.Time // when the worker first advertised a limit after having had none
}

// record is an advertised value and the time at which it was received.
type record struct {
	value Advertised
	at    time.Time
}

// Record records the value in the response to a request that was sent at one time and
// whose response arrived at another. It reports whether the limit in force changes.
func (l *Limit) Record(value Advertised, sent, now time.Time) bool {
	before := l.Current()
	if sent.After(l.latest) {
		l.latest = sent
	}
	l.records = slices.DeleteFunc(l.records, func(earlier record) bool {
		return earlier.at.Before(l.latest) || !earlier.value.lowerThan(value)
	})
	l.records = append(l.records, record{value, now})
	if !before.Limited {
		l.since = now
	}
	return l.Current() != before
}

// Adopt records a limit that another node has received from the worker, if this node has
// restarted and not received any response from the worker itself. It reports whether the
// limit in force changes.
func (l *Limit) Adopt(value Advertised, now time.Time) bool {
	if len(l.records) > 0 || !value.Limited {
		return false
	}
	return l.Record(value, now, now)
}

// Current returns the limit in force.
func (l *Limit) Current() Advertised {
	if len(l.records) == 0 {
		return Advertised{}
	}
	return l.records[0].value
}

// Since is when the worker first advertised a limit after having had none; the zero time if
// no limit is in force.
func (l *Limit) Since() time.Time {
	if !l.Current().Limited {
		return time.Time{}
	}
	return l.since
}

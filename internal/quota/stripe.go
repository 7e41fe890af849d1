package quota

import (
	"time"
)

// stripe is a token bucket: a part of a tenant's limit, in the memory of one node.
type stripe struct {
	rate     float64 // tokens a second
	capacity float64 // tokens
	level    float64 // tokens, at filled
	filled   time.Time
	booked   time.Time // until when the tokens to come are promised to those who were refused
}

// mostBooked bounds for how long in advance tokens are promised. A node that sees a flood is
// told of each stripe once or twice a second, so that the first room of 16 stripes is mostly
// less than 100 ms away. With 5 s a node sends a third less messages in a flood, with 250 ms
// twice as many, and no more of what lies within the limit is served.
const mostBooked = time.Second

// leastCapacity lets each stripe grant a token.
const leastCapacity = 1

// newStripe returns an empty stripe that fills from a moment on.
func newStripe(rate, capacity float64, from time.Time) *stripe {
	return &stripe{rate: rate, capacity: max(leastCapacity, capacity), filled: from}
}

// limit sets rate and capacity. A higher limit fills up by time alone, a lower one cuts
// the level at once.
func (s *stripe) limit(rate, capacity float64, now time.Time) {
	s.fill(now)
	s.rate, s.capacity = rate, max(leastCapacity, capacity)
	s.level = min(s.level, s.capacity)
}

// fill adds what has come since the last time. Before the time from which the stripe counts,
// nothing comes.
func (s *stripe) fill(now time.Time) {
	if passed := now.Sub(s.filled); passed > 0 {
		s.level = min(s.capacity, s.level+s.rate*passed.Seconds())
		s.filled = now
	}
}

// take takes up to so many tokens. Without one it tells after how long there is one for
// this asker, if those who were refused before come back as told.
func (s *stripe) take(wanted int, now time.Time) (granted int, wait time.Duration) {
	s.fill(now)
	granted = min(wanted, int(s.level))
	s.level -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	return 0, s.book(now)
}

func (s *stripe) book(now time.Time) time.Duration {
	next := later(now, s.filled).Add(s.timeFor(1 - s.level))
	booked := s.booked.Add(s.timeFor(1))
	if booked.Before(next) || booked.Sub(now) > mostBooked {
		booked = next
	}
	s.booked = booked
	return booked.Sub(now)
}

// timeFor is the time in which so many tokens come.
func (s *stripe) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / s.rate * float64(time.Second))
}

// giveBack takes tokens back that were not used.
func (s *stripe) giveBack(tokens int, now time.Time) {
	s.fill(now)
	s.level = min(s.capacity, s.level+float64(tokens))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

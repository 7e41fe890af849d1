package quota

import (
	"time"
)

// stripe is a token bucket for one part of a tenant's limit, in the memory of one node.
type stripe struct {
	rate          float64 // tokens a second
	capacity      float64 // tokens
	level         float64 // tokens at filledAt
	filledAt      time.Time
	reservedUntil time.Time // future tokens up to this time are promised to rejected requests
}

// maxReservation bounds how far in advance tokens are promised. During a flood a node receives
// a wait from each stripe once or twice a second, so that the shortest wait of 16 stripes is
// mostly below 100 ms. With 5 s a node sends a third fewer messages in a flood and with 250 ms
// twice as many, but neither serves more of the requests within the limit.
const maxReservation = time.Second

// minCapacity is the minimum capacity, in tokens, so that each stripe can grant one.
const minCapacity = 1

// newStripe returns an empty stripe that fills from a given time.
func newStripe(rate, capacity float64, from time.Time) *stripe {
	return &stripe{rate: rate, capacity: max(minCapacity, capacity), filledAt: from}
}

// setLimit sets rate and capacity. After an increase the level rises only with time; after a
// decrease it is cut to the new capacity at once.
func (s *stripe) setLimit(rate, capacity float64, now time.Time) {
	s.fill(now)
	s.rate, s.capacity = rate, max(minCapacity, capacity)
	s.level = min(s.level, s.capacity)
}

// fill adds the tokens since the last call. No tokens are added before the stripe's start time.
func (s *stripe) fill(now time.Time) {
	if elapsed := now.Sub(s.filledAt); elapsed > 0 {
		s.level = min(s.capacity, s.level+s.rate*elapsed.Seconds())
		s.filledAt = now
	}
}

// take grants up to the requested number of tokens. If it grants none, wait is the time until a
// token for this caller, provided that the callers rejected before it retry after their waits.
func (s *stripe) take(requested int, now time.Time) (granted int, wait time.Duration) {
	s.fill(now)
	granted = min(requested, int(s.level))
	s.level -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	return 0, s.reserve(now)
}

func (s *stripe) reserve(now time.Time) time.Duration {
	next := later(now, s.filledAt).Add(s.fillTime(1 - s.level))
	reserved := s.reservedUntil.Add(s.fillTime(1))
	if reserved.Before(next) || reserved.Sub(now) > maxReservation {
		reserved = next
	}
	s.reservedUntil = reserved
	return reserved.Sub(now)
}

// fillTime returns the time in which the stripe receives a number of tokens.
func (s *stripe) fillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.rate * float64(time.Second))
}

// returnTokens puts unused tokens back.
func (s *stripe) returnTokens(tokens int, now time.Time) {
	s.fill(now)
	s.level = min(s.capacity, s.level+float64(tokens))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

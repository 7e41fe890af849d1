// Package comeback tells when a refused request is to come back. It is pure: the caller
// passes the time.
//
// A caller comes back once at most, so a second refusal is its last. Two things follow:
// a request that has come back may be answered late, and callers come back one behind
// the other, as fast as the service answers this node, so that they don't meet the
// overload of which they were refused all at once.
package comeback

import "time"

// Schedule spreads the returns of one node's refused requests over what one service
// answers.
type Schedule struct {
	answers float64   // in the last rateMemory, older ones fading
	counted time.Time // when answers was brought up to date
	next    time.Time // when the next refused request may come back
}

// rateMemory is over how long the rate of answers is taken. Bursts last a few seconds.
const rateMemory = time.Second

// Answered notes an answer of the service.
func (s *Schedule) Answered(now time.Time) {
	s.fade(now)
	s.answers++
}

// fade lets older answers count less.
func (s *Schedule) fade(now time.Time) {
	passed := now.Sub(s.counted)
	s.counted = now
	if passed >= rateMemory {
		s.answers = 0
		return
	}
	s.answers *= 1 - float64(passed)/float64(rateMemory)
}

// interval is the time between two answers of the service. Without any, callers come
// back a memory apart.
func (s *Schedule) interval(now time.Time) time.Duration {
	s.fade(now)
	return time.Duration(float64(rateMemory) / max(1, s.answers))
}

// Book returns after how long a refused request is to come back: not before the wait
// that the service's nodes foresee, behind the ones that were refused before it, and
// not later than most.
func (s *Schedule) Book(foreseen, most time.Duration, now time.Time) time.Duration {
	at := s.next
	if earliest := now.Add(foreseen); at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(most); at.After(latest) {
		return most // nobody comes later, and the schedule does not grow without bound
	}
	s.next = at.Add(s.interval(now))
	return at.Sub(now)
}

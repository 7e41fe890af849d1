// Package comeback treats callers that were refused and come back: it tells when a
// refused request is to come back, and knows one that has. It is pure: the caller
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

// UsualTime learns how much time callers give requests of one route when they send them
// first: a caller that comes back has less. It follows the longer times closely and the
// shorter ones slowly, so that many returns don't pass for the usual.
type UsualTime struct{ usual time.Duration }

const (
	riseWeight = 32  // a longer time than usual counts one in so many
	fallWeight = 512 // and a shorter one: with four returns in ten, the usual stays within 2 %
	mostRise   = 2   // times the usual that one request may count as, so that none moves it far
	// returnedShare is the share of the usual time below which a request has come back.
	// The rest is for what its first way took: a refusal is told within a few
	// milliseconds, and a caller comes back no sooner than leastWait of the dispatch.
	returnedShare = 0.95
)

// Returned notes the time that a request was given and reports whether its caller has
// spent some of it before.
func (u *UsualTime) Returned(given time.Duration) bool {
	if u.usual == 0 {
		u.usual = given
	}
	if given > u.usual {
		u.usual += (min(given, mostRise*u.usual) - u.usual) / riseWeight
	} else {
		u.usual -= (u.usual - given) / fallWeight
	}
	return float64(given) < returnedShare*float64(u.usual)
}

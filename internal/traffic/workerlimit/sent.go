package workerlimit

import "time"

// SentWindow is the time over which Sent counts: the interval within which a worker's limit
// must be kept.
const SentWindow = 4 * time.Second

// sentParts is the number of parts into which the window is divided.
const sentParts = 8

// Sent counts the requests sent to a worker within the last SentWindow, with the precision
// of one part. It is not safe for concurrent use.
type Sent struct {
	counts [sentParts]int
	latest int64 // number of the last counted part
}

// Add counts a request.
func (s *Sent) Add(now time.Time) {
	s.counts[s.advance(now)]++
}

// Count returns the number of requests within the last SentWindow.
func (s *Sent) Count(now time.Time) int {
	s.advance(now)
	total := 0
	for _, count := range s.counts {
		total += count
	}
	return total
}

// advance clears the parts that have expired and returns the index of the current one.
func (s *Sent) advance(now time.Time) int {
	part := now.UnixNano() / int64(SentWindow/sentParts)
	for passed := max(s.latest+1, part-sentParts+1); passed <= part; passed++ {
		s.counts[passed%sentParts] = 0
	}
	s.latest = max(s.latest, part)
	return int(s.latest % sentParts)
}

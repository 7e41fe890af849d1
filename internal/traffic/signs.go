package traffic

import (
	"sync"
	"time"
)

// signDelays learns how long other nodes take to give the first sign of a try, by
// address: on a narrow link a short message waits behind long bodies, so a fixed bound
// takes nodes that are alive for silent. Each such try was made again beside the first
// one, at a node whose link was as full, and the node was left alone for a while, so that
// its share fell to the others: on links of 5 Mbit/s at two thirds of what they carry
// this fed itself. The estimate is that of RFC 6298: a mean and a mean deviation.
type signDelays struct {
	mutex sync.Mutex
	known map[string]*signDelay
	all   signDelay // over all addresses
}

type signDelay struct{ mean, deviation time.Duration }

const (
	signWeight      = 8    // a delay counts one in so many
	deviationWeight = 4    // and its distance from the mean
	usualDeviations = 4    // beyond the mean, a delay is not usual any more (RFC 6298)
	mostSignDelays  = 2048 // addresses that are remembered; beyond, all is learnt anew
)

func newSignDelays() *signDelays { return &signDelays{known: map[string]*signDelay{}} }

// note takes in how long a node took, be it that it was given up meanwhile.
func (s *signDelays) note(address string, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all.add(took)
	held := s.known[address]
	if held == nil {
		if len(s.known) >= mostSignDelays {
			clear(s.known)
		}
		s.known[address] = &signDelay{mean: took, deviation: took / 2}
		return
	}
	held.add(took)
}

func (d *signDelay) add(took time.Duration) {
	d.deviation += ((took - d.mean).Abs() - d.deviation) / deviationWeight
	d.mean += (took - d.mean) / signWeight
}

// moveTime is what it takes to go on to another endpoint after a refusal: the way there
// and back, and once more for the chance that this one refuses, too.
func (s *signDelays) moveTime() time.Duration {
	const ways = 2
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ways * s.all.mean
}

// usual is within what time a node's sign comes as a rule, 0 when nothing is known.
func (s *signDelays) usual(address string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.known[address]
	if held == nil {
		return 0
	}
	return held.mean + usualDeviations*held.deviation
}

package traffic

import (
	"sync"
	"time"
)

// ackDelays estimates, by address, how long other nodes take to acknowledge an attempt. On a
// narrow link a short message waits behind long bodies, so with a fixed timeout live nodes
// appear unresponsive. Each such attempt was then repeated at another node whose link was just
// as full, and the first node was avoided for a while, which moved its share to the others: on
// links of 5 Mbit/s, at two thirds of their capacity, this became a feedback loop. The
// estimate is that of RFC 6298: a mean and a mean deviation.
type ackDelays struct {
	mutex     sync.Mutex
	byAddress map[string]*ackDelay
	overall   ackDelay // over all addresses
}

type ackDelay struct{ mean, deviation time.Duration }

const (
	meanWeight      = 8    // a new delay counts 1/8 in the mean
	deviationWeight = 4    // its difference from the mean counts 1/4 in the deviation
	deviationFactor = 4    // deviations above the mean up to which a delay is typical (RFC 6298)
	maxAckDelays    = 2048 // maximum number of addresses; beyond it, all estimates are dropped
)

func newAckDelays() *ackDelays { return &ackDelays{byAddress: map[string]*ackDelay{}} }

// observe records the delay of an acknowledgement, including one that came after the timeout.
func (a *ackDelays) observe(address string, took time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.overall.add(took)
	delay := a.byAddress[address]
	if delay == nil {
		if len(a.byAddress) >= maxAckDelays {
			clear(a.byAddress)
		}
		a.byAddress[address] = &ackDelay{mean: took, deviation: took / 2}
		return
	}
	delay.add(took)
}

func (d *ackDelay) add(took time.Duration) {
	d.deviation += ((took - d.mean).Abs() - d.deviation) / deviationWeight
	d.mean += (took - d.mean) / meanWeight
}

// rerouteTime returns the time to reach another endpoint after a refusal: one acknowledgement
// delay there, and another one in case that endpoint refuses as well.
func (a *ackDelays) rerouteTime() time.Duration {
	const ways = 2
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return ways * a.overall.mean
}

// typical returns the time within which a node's acknowledgement typically comes, 0 if none
// has been observed.
func (a *ackDelays) typical(address string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delay := a.byAddress[address]
	if delay == nil {
		return 0
	}
	return delay.mean + deviationFactor*delay.deviation
}

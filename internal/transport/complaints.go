package transport

import (
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
)

const (
	complaintInterval = time.Minute // between two logs of one cause and peer
	maxComplaints     = 1024        // causes and peers remembered
)

// complaint is one cause with one peer.
type complaint struct {
	event string
	peer  string
}

// complaints logs each cause and peer at most once an interval, so that a
// misbehaving peer cannot fill the log.
type complaints struct {
	logger log.Interface
	mutex  sync.Mutex
	last   map[complaint]time.Time
}

// newComplaints returns an empty set.
func newComplaints(logger log.Interface) *complaints {
	return &complaints{logger: logger, last: make(map[complaint]time.Time)}
}

// log logs the cause unless it was logged within the interval.
func (c *complaints) log(event, peer string, cause error) {
	if c.due(complaint{event: event, peer: peer}, time.Now()) {
		logging.Problem(c.logger, event, cause, logging.Fields{"peer": peer})
	}
}

// settled forgets a cause, so that its next occurrence is logged at once.
func (c *complaints) settled(event, peer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.last, complaint{event: event, peer: peer})
}

// due reports whether the cause may be logged now, and remembers that it was.
func (c *complaints) due(cause complaint, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if last, known := c.last[cause]; known && now.Sub(last) < complaintInterval {
		return false
	}
	c.makeRoom(now)
	if len(c.last) >= maxComplaints {
		return false
	}
	c.last[cause] = now
	return true
}

// makeRoom forgets what is older than the interval once there are many causes.
func (c *complaints) makeRoom(now time.Time) {
	if len(c.last) < maxComplaints {
		return
	}
	for cause, last := range c.last {
		if now.Sub(last) >= complaintInterval {
			delete(c.last, cause)
		}
	}
}

// hostOf returns the IP of a socket address, so that the ports of one peer
// count as one.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

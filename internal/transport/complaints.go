package transport

import (
	"errors"
	"maps"
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

// cause classifies why a peer was refused, so that one cause is logged once
// whatever the details.
type cause string

// The causes of a refusal.
const (
	causeGarbage        cause = "garbage"        // not the protocol
	causeTooLong        cause = "too-long"       // a line or datagram beyond its bound
	causeBomb           cause = "bomb"           // decodes to far more than was sent
	causeMemory         cause = "memory"         // long lines of all peers exceed their bound
	causeForeign        cause = "foreign"        // a message in another's name
	causeRate           cause = "rate"           // too many messages
	causeAuthentication cause = "authentication" // not proven
	causeOther          cause = "other"
)

// refusal is an error with its cause.
type refusal struct {
	cause cause
	error
}

// Unwrap returns the error itself.
func (r *refusal) Unwrap() error { return r.error }

// refused gives an error its cause.
func refused(cause cause, err error) error { return &refusal{cause: cause, error: err} }

// causeOf returns the cause of an error.
func causeOf(err error) cause {
	var refusal *refusal
	if errors.As(err, &refusal) {
		return refusal.cause
	}
	return causeOther
}

// complaint is one cause with one peer.
type complaint struct {
	event string
	peer  string
	cause cause
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

// log logs the error unless its cause was logged within the interval.
func (c *complaints) log(event, peer string, err error) {
	cause := causeOf(err)
	if c.due(complaint{event: event, peer: peer, cause: cause}, time.Now()) {
		logging.Problem(c.logger, event, err, logging.Fields{"peer": peer, "cause": cause})
	}
}

// settled forgets a cause, so that its next occurrence is logged at once.
func (c *complaints) settled(event, peer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.last, func(known complaint, _ time.Time) bool { return known.event == event && known.peer == peer })
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

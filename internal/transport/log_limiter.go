package transport

import (
	"maps"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
)

const (
	logInterval = time.Minute // between two logs of one cause and peer
	maxLogged   = 1024        // causes and peers remembered
)

// occurrence is one cause with one peer.
type occurrence struct {
	event string
	peer  string
	cause cause
}

// logLimiter logs each cause and peer at most once an interval, so that a
// misbehaving peer cannot fill the log.
type logLimiter struct {
	logger log.Interface
	mutex  sync.Mutex
	last   map[occurrence]time.Time
}

// newLogLimiter returns a limiter that has logged nothing.
func newLogLimiter(logger log.Interface) *logLimiter {
	return &logLimiter{logger: logger, last: make(map[occurrence]time.Time)}
}

// log logs the error unless its cause was logged within the interval.
func (l *logLimiter) log(event, peer string, err error) {
	cause := causeOf(err)
	if l.due(occurrence{event: event, peer: peer, cause: cause}, time.Now()) {
		logging.Problem(l.logger, event, err, logging.Fields{"peer": peer, "cause": cause})
	}
}

// settled forgets a cause, so that its next occurrence is logged at once.
func (l *logLimiter) settled(event, peer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.last, func(known occurrence, _ time.Time) bool { return known.event == event && known.peer == peer })
}

// due reports whether the cause may be logged now, and remembers that it was.
func (l *logLimiter) due(cause occurrence, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, known := l.last[cause]; known && now.Sub(last) < logInterval {
		return false
	}
	l.makeRoom(now)
	if len(l.last) >= maxLogged {
		return false
	}
	l.last[cause] = now
	return true
}

// makeRoom forgets what is older than the interval once there are many causes.
func (l *logLimiter) makeRoom(now time.Time) {
	if len(l.last) < maxLogged {
		return
	}
	for cause, last := range l.last {
		if now.Sub(last) >= logInterval {
			delete(l.last, cause)
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

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
	logInterval        = time.Minute // minimum time between two log lines for the same event, peer and cause
	maxTrackedProblems = 1024        // maximum number of such combinations that are tracked
)

// problemKey identifies a recurring problem with a peer.
type problemKey struct {
	event string
	peer  string
	cause cause
}

// logLimiter logs each combination of event, peer and cause at most once per
// logInterval, so that a misbehaving peer cannot flood the log. It is safe for
// concurrent use.
type logLimiter struct {
	logger     log.Interface
	mutex      sync.Mutex
	lastLogged map[problemKey]time.Time // when each was last logged
}

// newLogLimiter returns a limiter for logger.
func newLogLimiter(logger log.Interface) *logLimiter {
	return &logLimiter{logger: logger, lastLogged: make(map[problemKey]time.Time)}
}

// log logs the error unless the same event, peer and cause were logged within
// logInterval.
func (l *logLimiter) log(event, peer string, err error) {
	cause := causeOf(err)
	if l.allow(problemKey{event: event, peer: peer, cause: cause}, time.Now()) {
		logging.Problem(l.logger, event, err, logging.Fields{"peer": peer, "cause": cause})
	}
}

// resolve records that a problem is over, so that its next occurrence is logged
// immediately.
func (l *logLimiter) resolve(event, peer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.lastLogged, func(logged problemKey, _ time.Time) bool { return logged.event == event && logged.peer == peer })
}

// allow reports whether a problem may be logged now, and if so records the time. It
// returns false while maxTrackedProblems other problems are tracked.
func (l *logLimiter) allow(problem problemKey, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, found := l.lastLogged[problem]; found && now.Sub(last) < logInterval {
		return false
	}
	l.removeExpired(now)
	if len(l.lastLogged) >= maxTrackedProblems {
		return false
	}
	l.lastLogged[problem] = now
	return true
}

// removeExpired removes problems older than logInterval once maxTrackedProblems are tracked.
func (l *logLimiter) removeExpired(now time.Time) {
	if len(l.lastLogged) < maxTrackedProblems {
		return
	}
	for problem, last := range l.lastLogged {
		if now.Sub(last) >= logInterval {
			delete(l.lastLogged, problem)
		}
	}
}

// hostOf returns the IP of a socket address, so that connections from several ports
// of a peer count as one peer.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

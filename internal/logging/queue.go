package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Limits of a queue.
const (
	maxQueuedLines = 2048
	linesPerSecond = 25  // sustained rate of one event
	lineBurst      = 100 // maximum burst of one event
	reportInterval = time.Second
)

// Queue is a handler that never blocks: lines wait for the writer in a bounded queue, and the
// rate of each event is limited. Dropped lines are counted; those dropped by the rate limit
// are reported by EventLimited. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	waiting atomic.Int64 // lines accepted and not yet written
	dropped atomic.Uint64

	mutex  sync.Mutex
	limits map[string]*eventLimit
}

// eventLimit is the rate limit of one event and the number of lines that it dropped.
type eventLimit struct {
	limiter    *rate.Limiter
	dropped    uint64
	reportedAt time.Time
}

// NewQueue returns a handler that writes to writer from a goroutine, which runs until the
// process exits.
func NewQueue(writer io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), limits: map[string]*eventLimit{}}
	go q.write(writer)
	return q
}

func (q *Queue) write(writer io.Writer) {
	for line := range q.lines {
		_, _ = writer.Write(line) // there is nowhere to report an error
		q.waiting.Add(-1)
	}
}

// HandleLog implements log.Handler. It does not wait for the writer.
func (q *Queue) HandleLog(entry *log.Entry) error {
	dropped, allowed := q.allow(entry.Message, entry.Timestamp)
	if !allowed {
		return nil
	}
	if dropped > 0 {
		q.enqueue(limitedEntry(entry, dropped))
	}
	q.enqueue(entry)
	return nil
}

// limitedEntry returns the entry that reports how many lines were dropped of the event whose
// entry next is about to be written.
func limitedEntry(next *log.Entry, count uint64) *log.Entry {
	return &log.Entry{
		Logger: next.Logger, Level: log.WarnLevel, Timestamp: next.Timestamp,
		Message: EventLimited, Fields: Fields{"of": next.Message, "count": count},
	}
}

// EventLimited is the event that reports how many lines of an event the rate limit dropped.
const EventLimited = "log.limited"

func (q *Queue) enqueue(entry *log.Entry) {
	line := appendEntry(nil, entry)
	q.waiting.Add(1)
	select {
	case q.lines <- line:
	default:
		q.waiting.Add(-1)
		q.dropped.Add(1)
	}
}

// allow reports whether a line of an event may be written now, and how many lines were dropped
// since the last report, 0 if no report is due.
func (q *Queue) allow(event string, now time.Time) (dropped uint64, allowed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	limit := q.limits[event]
	if limit == nil {
		limit = &eventLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		q.limits[event] = limit
	}
	if !limit.limiter.AllowN(now, 1) {
		limit.dropped++
		q.dropped.Add(1)
		return 0, false
	}
	if limit.dropped > 0 && now.Sub(limit.reportedAt) >= reportInterval {
		dropped = limit.dropped
		limit.dropped = 0
		limit.reportedAt = now
	}
	return dropped, true
}

// Dropped returns the number of lines dropped by the rate limits or a full queue.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Flush waits until all lines are written, at most for the duration within.
func (q *Queue) Flush(within time.Duration) {
	const poll = time.Millisecond
	for end := time.Now().Add(within); q.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(poll)
	}
}

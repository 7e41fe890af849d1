package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Bounds of a queue.
const (
	queuedLines    = 2048
	linesPerSecond = 25  // of one event, over longer times
	linesAtOnce    = 100 // of one event
	reportEvery    = time.Second
)

// Queue is a handler that never blocks: lines wait for the writer in a bounded
// queue, and each event has a bounded rate. What is left out is counted, and
// told by an event of its own.
type Queue struct {
	lines   chan []byte
	waiting atomic.Int64 // lines accepted and not yet written
	dropped atomic.Uint64

	mutex    sync.Mutex
	limiters map[string]*limited
}

// limited is the rate of one event and what it left out.
type limited struct {
	limiter *rate.Limiter
	left    uint64
	told    time.Time
}

// NewQueue returns a handler whose lines a goroutine writes for as long as the
// process runs.
func NewQueue(writer io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), limiters: map[string]*limited{}}
	go q.write(writer)
	return q
}

func (q *Queue) write(writer io.Writer) {
	for line := range q.lines {
		_, _ = writer.Write(line) // there is nowhere to tell an error
		q.waiting.Add(-1)
	}
}

// HandleLog implements log.Handler. It does not wait for the writer.
func (q *Queue) HandleLog(entry *log.Entry) error {
	left, allowed := q.allow(entry.Message, entry.Timestamp)
	if !allowed {
		return nil
	}
	if left > 0 {
		q.enqueue(leftOut(entry, left))
	}
	q.enqueue(entry)
	return nil
}

// leftOut tells how many lines of an event were left out before an entry.
func leftOut(before *log.Entry, count uint64) *log.Entry {
	return &log.Entry{
		Logger: before.Logger, Level: log.WarnLevel, Timestamp: before.Timestamp,
		Message: EventLimited, Fields: Fields{"of": before.Message, "count": count},
	}
}

// EventLimited is the event that tells how many lines of an event were left out.
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

// allow reports whether a line of an event may be written now, and how many
// were left out since that was last told.
func (q *Queue) allow(event string, now time.Time) (left uint64, allowed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.limiters[event]
	if held == nil {
		held = &limited{limiter: rate.NewLimiter(linesPerSecond, linesAtOnce)}
		q.limiters[event] = held
	}
	if !held.limiter.AllowN(now, 1) {
		held.left++
		q.dropped.Add(1)
		return 0, false
	}
	if held.left > 0 && now.Sub(held.told) >= reportEvery {
		left = held.left
		held.left = 0
		held.told = now
	}
	return left, true
}

// Dropped returns the number of lines that were left out.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Flush waits until all lines are written, or for the time given.
func (q *Queue) Flush(within time.Duration) {
	const poll = time.Millisecond
	for end := time.Now().Add(within); q.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(poll)
	}
}

package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sliphead/internal/outcome"
)

// Ending is the result of an attempt as the caller sees it.
type Ending string

// The endings of an attempt.
const (
	EndingAnswered Ending = Ending(outcome.Answered) // complete response to this request
	EndingNotRun   Ending = Ending(outcome.NotRun)   // reported to the caller as not run
	EndingUnknown  Ending = Ending(outcome.Unknown)  // reported to the caller as possibly run
	EndingFailed   Ending = "failed"                 // connection lost, timeout, error of the worker, or response without an outcome
	EndingWrong    Ending = "wrong"                  // reported as answered, but the response is incomplete or of another request
	EndingUnsent   Ending = "unsent"                 // not sent, as the caller had too many requests in flight
)

// Endings lists all endings, in the order used in reports.
var Endings = []Ending{EndingAnswered, EndingNotRun, EndingUnknown, EndingFailed, EndingWrong, EndingUnsent}

// Attempt is one attempt of a request, with its result.
type Attempt struct {
	Class   string        `json:"class"`
	Nonce   string        `json:"nonce"`
	Number  int           `json:"attempt"` // from 1
	Key     string        `json:"key,omitempty"`
	Once    bool          `json:"once,omitempty"` // may run only once
	Path    string        `json:"path"`
	Edge    string        `json:"edge"`
	Start   time.Time     `json:"start"` // intended
	Latency time.Duration `json:"latencyNs"`
	Ending  Ending        `json:"ending"`
	Status  int           `json:"status,omitempty"`
	Worker  string        `json:"worker,omitempty"` // that sent the response
	Cause   string        `json:"cause,omitempty"`
}

// The range and precision of latency histograms, microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result collects attempts and their latencies. It is safe for concurrent use.
type Result struct {
	mutex      sync.Mutex
	attempts   []Attempt
	histograms map[string]*hdrhistogram.Histogram // answered attempts, by class
	pending    map[pendingAttempt]int             // attempts that have not ended
}

// pendingAttempt identifies attempts that have not ended.
type pendingAttempt struct {
	class string
	start time.Time // intended
}

func newResult() *Result {
	return &Result{histograms: map[string]*hdrhistogram.Histogram{}, pending: map[pendingAttempt]int{}}
}

// begin records the start of an attempt.
func (r *Result) begin(class string, start time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending[pendingAttempt{class, start}]++
}

// Pending returns the number of attempts of a class with an intended start within
// [from, to) that have not ended.
func (r *Result) Pending(class string, from, to time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for attempt, number := range r.pending {
		if attempt.class == class && !attempt.start.Before(from) && attempt.start.Before(to) {
			count += number
		}
	}
	return count
}

// finish records the end of an attempt that begin recorded.
func (r *Result) finish(attempt Attempt) {
	r.add(attempt) // before the removal below, so that a reader finds the attempt in attempts or in pending
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := pendingAttempt{attempt.Class, attempt.Start}
	if r.pending[key]--; r.pending[key] == 0 {
		delete(r.pending, key)
	}
}

func (r *Result) add(attempt Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts = append(r.attempts, attempt)
	if attempt.Ending != EndingAnswered {
		return
	}
	histogram := r.histograms[attempt.Class]
	if histogram == nil {
		histogram = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		r.histograms[attempt.Class] = histogram
	}
	_ = histogram.RecordValue(min(attempt.Latency.Microseconds(), maxMicros))
}

// Attempts returns a copy of all attempts that have ended.
func (r *Result) Attempts() []Attempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.attempts)
}

// Count returns the number of attempts of a class with an ending; an empty class
// means all classes.
func (r *Result) Count(class string, ending Ending) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, attempt := range r.attempts {
		if attempt.Ending == ending && (class == "" || attempt.Class == class) {
			count++
		}
	}
	return count
}

// Quantile returns a percentile, 0 to 100, of the latency of a class's answered
// attempts, or 0 if there are none.
func (r *Result) Quantile(class string, percentile float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	histogram := r.histograms[class]
	if histogram == nil {
		return 0
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// AnsweredBy returns the number of answered attempts by worker, of the attempts of
// a class with an intended start within [from, to).
func (r *Result) AnsweredBy(class string, from, to time.Time) map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	workers := map[string]int{}
	for _, attempt := range r.attempts {
		inside := !attempt.Start.Before(from) && attempt.Start.Before(to)
		if inside && attempt.Class == class && attempt.Ending == EndingAnswered {
			workers[attempt.Worker]++
		}
	}
	return workers
}

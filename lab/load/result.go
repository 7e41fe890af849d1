package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sliphead/internal/outcome"
)

// Ending is how an attempt looked to the caller.
type Ending string

// The endings of an attempt.
const (
	EndingAnswered Ending = Ending(outcome.Answered) // the whole own answer
	EndingNotRun   Ending = Ending(outcome.NotRun)   // the caller was told that it was not run
	EndingUnknown  Ending = Ending(outcome.Unknown)  // the caller was told that it may have run
	EndingFailed   Ending = "failed"                 // cut, timed out or answered without an outcome
	EndingWrong    Ending = "wrong"                  // an answer passed on as whole that is not, or is another's
	EndingUnsent   Ending = "unsent"                 // too many requests in flight at the caller
)

// Endings lists all endings in the order of reports.
var Endings = []Ending{EndingAnswered, EndingNotRun, EndingUnknown, EndingFailed, EndingWrong, EndingUnsent}

// Attempt is one submission of a request.
type Attempt struct {
	Class   string        `json:"class"`
	Nonce   string        `json:"nonce"`
	Number  int           `json:"attempt"` // from 1
	Key     string        `json:"key,omitempty"`
	Once    bool          `json:"once,omitempty"` // may run at most once
	Path    string        `json:"path"`
	Edge    string        `json:"edge"`
	Start   time.Time     `json:"start"` // intended
	Latency time.Duration `json:"latencyNs"`
	Ending  Ending        `json:"ending"`
	Status  int           `json:"status,omitempty"`
	Worker  string        `json:"worker,omitempty"` // that answered
	Cause   string        `json:"cause,omitempty"`
}

// The range and precision of latency histograms, microseconds.
const (
	lowestMicros   = 1
	highestMicros  = int64(10 * time.Minute / time.Microsecond)
	significantHdr = 3
)

// Result gathers attempts.
type Result struct {
	mutex      sync.Mutex
	attempts   []Attempt
	histograms map[string]*hdrhistogram.Histogram // answered attempts, by class
	pending    map[pendingAttempt]int             // attempts that have not ended
}

// pendingAttempt is what is known of an attempt before it ends.
type pendingAttempt struct {
	class string
	start time.Time // intended
}

func newResult() *Result {
	return &Result{histograms: map[string]*hdrhistogram.Histogram{}, pending: map[pendingAttempt]int{}}
}

// begin notes that an attempt is under way.
func (r *Result) begin(class string, start time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending[pendingAttempt{class, start}]++
}

// Pending returns how many attempts of a class that were intended to start
// within [from, to) have not ended.
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

// finish records how a begun attempt ended.
func (r *Result) finish(attempt Attempt) {
	r.add(attempt) // first, so that it is always in one of the two
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
		histogram = hdrhistogram.New(lowestMicros, highestMicros, significantHdr)
		r.histograms[attempt.Class] = histogram
	}
	_ = histogram.RecordValue(min(attempt.Latency.Microseconds(), highestMicros))
}

// Attempts returns all attempts that have ended.
func (r *Result) Attempts() []Attempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.attempts)
}

// Count returns how many attempts ended so; an empty class counts all classes.
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

// Quantile returns the latency of a class's answered attempts at a percentile,
// 0 to 100.
func (r *Result) Quantile(class string, percentile float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	histogram := r.histograms[class]
	if histogram == nil {
		return 0
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// AnsweredBy counts the workers that answered attempts of a class that were
// intended to start within [from, to).
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

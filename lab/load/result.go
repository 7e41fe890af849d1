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
}

func newResult() *Result {
	return &Result{histograms: map[string]*hdrhistogram.Histogram{}}
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

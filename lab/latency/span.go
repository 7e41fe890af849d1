package latency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sliphead/lab/load"
)

// tally accumulates the results of the requests on one path at one rate.
type tally struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds, of answered requests
	requests  int
	wrong     int
	failed    int
	cpu       time.Duration // of the nodes
	elapsed   time.Duration
}

// The range and precision of the histograms, microseconds.
const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newTally() *tally {
	return &tally{histogram: hdrhistogram.New(1, maxMicros, significantDigits)}
}

func (t *tally) add(attempt load.Attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests++
	switch attempt.Ending {
	case load.EndingAnswered:
		_ = t.histogram.RecordValue(min(attempt.Latency.Microseconds(), maxMicros))
	case load.EndingWrong:
		t.wrong++
	default:
		t.failed++
	}
}

func (t *tally) quantiles() Quantiles {
	at := func(quantile float64) time.Duration {
		return time.Duration(t.histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P99: at(99)}
}

// cpuPerRequest returns the CPU time that the nodes use for a request through
// them. Their idle use, measured during the direct spans, is subtracted.
func cpuPerRequest(through, direct *tally) time.Duration {
	if through == direct || through.requests == 0 || direct.elapsed == 0 {
		return 0
	}
	idle := float64(direct.cpu) * float64(through.elapsed) / float64(direct.elapsed)
	return time.Duration((float64(through.cpu) - idle) / float64(through.requests))
}

func (r *runner) submission(path Path, intended time.Time) load.Submission {
	r.lastRequestNumber++
	return load.Submission{
		Class:  r.class(),
		Nonce:  fmt.Sprintf("%s-%d", path, r.lastRequestNumber),
		Number: 1,
		Target: r.target(path),
		Start:  intended,
	}
}

// runSpan sends requests on one path at their intended times for the length of a
// span, waits until they have ended, and adds their results to counted.
func (r *runner) runSpan(ctx context.Context, path Path, rate float64, random *rand.Rand, counted *tally) error {
	before, err := r.nodesCPU(path)
	if err != nil {
		return err
	}
	began := time.Now()
	r.send(ctx, path, rate, random, counted)
	counted.elapsed += time.Since(began)
	after, err := r.nodesCPU(path)
	counted.cpu += after - before
	return err
}

func (r *runner) send(ctx context.Context, path Path, rate float64, random *rand.Rand, counted *tally) {
	var running sync.WaitGroup
	defer running.Wait()
	intended := time.Now()
	end := intended.Add(r.options.Span)
	for {
		intended = intended.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if intended.After(end) || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(intended))
		submission := r.submission(path, intended)
		running.Go(func() { counted.add(r.caller.Submit(ctx, submission)) })
	}
}

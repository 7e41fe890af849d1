package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"sliphead/lab/load"
	"sliphead/lab/worker"
)

// Verdict reports whether all expectations of an experiment were met.
type Verdict string

// The verdicts.
const (
	VerdictPass Verdict = "pass"
	VerdictFail Verdict = "fail"
)

// Outcome is the result of an experiment.
type Outcome struct {
	Name         string
	Violations   []string
	Samples      []Sample
	Attempts     []load.Attempt
	Phases       []PhaseFigures
	Nodes        int
	Bytes        int64         // control bytes sent and received by all nodes
	Duration     time.Duration // over which the bytes were counted
	Readers      int           // distinct readers at the source
	Runs         int           // of all workers
	ExpectedRuns int           // expected runs: one for each attempt and level of its call tree
	StartedAt    time.Time
}

// Verdict returns VerdictFail if there are violations.
func (o *Outcome) Verdict() Verdict {
	if len(o.Violations) > 0 {
		return VerdictFail
	}
	return VerdictPass
}

// controlBytes is the number of control bytes sent and received by one incarnation of a node.
type controlBytes struct{ total int64 }

func (r *run) readControlBytesByNode() map[string]controlBytes {
	read := map[string]controlBytes{}
	for _, node := range r.mesh.Nodes {
		if !node.Running() {
			continue
		}
		if status, err := node.Status(); err == nil {
			read[node.Name] = controlBytes{total: status.ControlBytesSent + status.ControlBytesReceived}
		}
	}
	return read
}

// controlBytesSinceStart returns the control bytes that all nodes sent and received since
// the load started. A restarted node counts from zero; the bytes of its earlier
// incarnation are not included.
func (r *run) controlBytesSinceStart() int64 {
	var sum int64
	for name, now := range r.readControlBytesByNode() {
		before := r.startBytes[name].total
		if before > now.total {
			before = 0
		}
		sum += now.total - before
	}
	return sum
}

// finish audits the run, checks the bounds and returns the outcome.
func (r *run) finish() (*Outcome, error) {
	result := &Outcome{
		Name:      r.spec.Name,
		Samples:   r.samples,
		Attempts:  r.generator.Result.Attempts(),
		Nodes:     len(r.mesh.Nodes),
		Bytes:     r.controlBytesSinceStart(),
		Duration:  time.Since(r.startedAt),
		Readers:   len(r.mesh.Source.Counts().Readers),
		StartedAt: r.startedAt,
	}
	var runs []worker.Run
	for _, each := range r.mesh.Workers {
		journal, err := each.Runs()
		if err != nil {
			return nil, err
		}
		runs = append(runs, journal...)
	}
	result.Runs = len(runs)
	result.ExpectedRuns = r.expectedRuns(result.Attempts)
	for _, violation := range load.Compare(result.Attempts, runs).Violations() {
		r.addViolation("%s", violation)
	}
	for _, breach := range r.mesh.Record.OrderViolations() {
		r.addViolation("%s", breach)
	}
	result.Phases = computePhaseFigures(r.phases, result.Attempts)
	for _, figures := range result.Phases {
		r.logger.WithFields(figures.Fields()).Info("")
	}
	r.check(result)
	r.checkPhases(result.Phases)
	result.Violations = r.violations
	return result, nil
}

// expectedRuns returns the number of runs that the attempts require if no run is repeated.
func (r *run) expectedRuns(attempts []load.Attempt) int {
	levels := map[string]int{}
	for _, class := range r.spec.Load {
		levels[class.Name] = class.Levels()
	}
	asked := 0
	for _, attempt := range attempts {
		asked += levels[attempt.Class]
	}
	return asked
}

// Amplification returns the ratio of actual to expected runs, 0 if none is expected.
func (o *Outcome) Amplification() float64 {
	if o.ExpectedRuns == 0 {
		return 0
	}
	return float64(o.Runs) / float64(o.ExpectedRuns)
}

// check adds a violation for each figure that exceeds its bound.
func (r *run) check(result *Outcome) {
	bounds := r.spec.Checks
	p99 := ConvergenceQuantile(result.Samples, 99)
	if bounds.ConvergenceP99MS > 0 && inMilliseconds(p99) > bounds.ConvergenceP99MS {
		r.addViolation("convergence p99 is %.1f ms, bound %.1f ms", inMilliseconds(p99), bounds.ConvergenceP99MS)
	}
	if amplification := result.Amplification(); bounds.Amplification > 0 && amplification > bounds.Amplification {
		r.addViolation("%d runs, expected %d: amplification %.3f, bound %.3f", result.Runs, result.ExpectedRuns, amplification, bounds.Amplification)
	}
	for class, share := range bounds.FailedShare {
		if failed := failedShare(result.Attempts, class); failed > share {
			r.addViolation("share of class %s not answered is %.4f, bound %.4f", class, failed, share)
		}
	}
	for class, bound := range bounds.LatencyP99MS {
		if latency := r.generator.Result.Quantile(class, 99); inMilliseconds(latency) > bound {
			r.addViolation("latency p99 of class %s is %.1f ms, bound %.1f ms", class, inMilliseconds(latency), bound)
		}
	}
	if len(r.spec.Load) > 0 && r.generator.Result.Count("", load.EndingAnswered) == 0 {
		r.addViolation("no request was answered")
	}
}

func failedShare(attempts []load.Attempt, class string) float64 {
	all, failed := 0, 0
	for _, attempt := range attempts {
		if attempt.Class != class {
			continue
		}
		all++
		if attempt.Ending != load.EndingAnswered {
			failed++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(failed) / float64(all)
}

func inMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// ConvergenceQuantile returns a percentile, 0 to 100, of the samples' convergence
// times. Times above 1 h count as 1 h.
func ConvergenceQuantile(samples []Sample, percentile float64) time.Duration {
	const highest = int64(time.Hour / time.Microsecond)
	histogram := hdrhistogram.New(1, highest, 3)
	for _, sample := range samples {
		_ = histogram.RecordValue(min(sample.Convergence.Microseconds(), highest))
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// Merge combines the outcomes of experiments that ran concurrently into one with the
// given name.
func Merge(name string, outcomes ...*Outcome) *Outcome {
	merged := &Outcome{Name: name}
	for _, each := range outcomes {
		merged.Violations = append(merged.Violations, each.Violations...)
		merged.Samples = append(merged.Samples, each.Samples...)
		merged.Attempts = append(merged.Attempts, each.Attempts...)
		merged.Phases = append(merged.Phases, each.Phases...)
		merged.Nodes += each.Nodes
		merged.Bytes += each.Bytes
		merged.Duration = max(merged.Duration, each.Duration)
		merged.Readers += each.Readers
		merged.Runs += each.Runs
		merged.ExpectedRuns += each.ExpectedRuns
		if merged.StartedAt.IsZero() || each.StartedAt.Before(merged.StartedAt) {
			merged.StartedAt = each.StartedAt
		}
	}
	return merged
}

// Fields returns the outcome as the fields of its result line.
func (o *Outcome) Fields() log.Fields {
	fields := log.Fields{
		"event":                             "experiment.result",
		"name":                              o.Name,
		"verdict":                           o.Verdict(),
		"violations":                        len(o.Violations),
		"nodes":                             o.Nodes,
		"readers":                           o.Readers,
		"requests":                          len(o.Attempts),
		"amplification":                     o.Amplification(),
		"convergence_p50_ms":                inMilliseconds(ConvergenceQuantile(o.Samples, 50)),
		"convergence_p99_ms":                inMilliseconds(ConvergenceQuantile(o.Samples, 99)),
		"control_bytes_per_node_per_second": o.bytesPerNodeSecond(),
	}
	for _, ending := range load.Endings {
		fields[string(ending)] = o.count(ending)
	}
	return fields
}

func (o *Outcome) bytesPerNodeSecond() int64 {
	if o.Nodes == 0 || o.Duration <= 0 {
		return 0
	}
	return int64(float64(o.Bytes) / float64(o.Nodes) / o.Duration.Seconds())
}

func (o *Outcome) count(ending load.Ending) int {
	matches := slices.DeleteFunc(slices.Clone(o.Attempts), func(attempt load.Attempt) bool { return attempt.Ending != ending })
	return len(matches)
}

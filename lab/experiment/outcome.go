package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"sliphead/lab/load"
	"sliphead/lab/worker"
)

// Verdict says whether an experiment's expectations held.
type Verdict string

// The verdicts.
const (
	VerdictPass Verdict = "pass"
	VerdictFail Verdict = "fail"
)

// Outcome is what an experiment came to.
type Outcome struct {
	Name       string
	Violations []string
	Samples    []Sample
	Attempts   []load.Attempt
	Phases     []PhaseFigures
	Nodes      int
	Bytes      int64         // control bytes sent and received by all nodes
	Duration   time.Duration // over which the bytes were counted
	Readers    int           // distinct readers at the source
	Runs       int           // by all workers
	RunsAsked  int           // that the attempts would have taken, each once at each level
	Began      time.Time
}

// Verdict returns whether all expectations held.
func (o *Outcome) Verdict() Verdict {
	if len(o.Violations) > 0 {
		return VerdictFail
	}
	return VerdictPass
}

// controlBytes are the totals of one life of a node.
type controlBytes struct{ total int64 }

func (r *run) readControlBytes() map[string]controlBytes {
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

// bytesSince sums what all nodes sent and received since the load began. A
// node that was started again counts from zero; what its life before carried
// is lost with it.
func (r *run) bytesSince() int64 {
	var sum int64
	for name, now := range r.readControlBytes() {
		before := r.startBytes[name].total
		if before > now.total {
			before = 0
		}
		sum += now.total - before
	}
	return sum
}

// finish audits the run and evaluates it.
func (r *run) finish() (*Outcome, error) {
	result := &Outcome{
		Name:     r.spec.Name,
		Samples:  r.samples,
		Attempts: r.generator.Result.Attempts(),
		Nodes:    len(r.mesh.Nodes),
		Bytes:    r.bytesSince(),
		Duration: time.Since(r.began),
		Readers:  len(r.mesh.Source.Counts().Readers),
		Began:    r.began,
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
	result.RunsAsked = r.runsAsked(result.Attempts)
	for _, violation := range load.Compare(result.Attempts, runs).Violations() {
		r.violate("%s", violation)
	}
	for _, breach := range r.mesh.Record.Breaches() {
		r.violate("%s", breach)
	}
	result.Phases = figuresOf(r.phases, result.Attempts)
	for _, figures := range result.Phases {
		r.logger.WithFields(figures.Fields()).Info("")
	}
	r.check(result)
	r.checkPhases(result.Phases)
	result.Violations = r.violations
	return result, nil
}

// runsAsked counts the runs that attempts take when none is repeated.
func (r *run) runsAsked(attempts []load.Attempt) int {
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

// Amplification returns the runs made for each run asked for.
func (o *Outcome) Amplification() float64 {
	if o.RunsAsked == 0 {
		return 0
	}
	return float64(o.Runs) / float64(o.RunsAsked)
}

// check compares the figures with the experiment's bounds.
func (r *run) check(result *Outcome) {
	bounds := r.spec.Checks
	p99 := ConvergenceQuantile(result.Samples, 99)
	if bounds.ConvergenceP99MS > 0 && inMilliseconds(p99) > bounds.ConvergenceP99MS {
		r.violate("convergence p99 is %.1f ms, bound %.1f ms", inMilliseconds(p99), bounds.ConvergenceP99MS)
	}
	if amplification := result.Amplification(); bounds.Amplification > 0 && amplification > bounds.Amplification {
		r.violate("%d runs were made for %d asked for, %.3f times, bound %.3f", result.Runs, result.RunsAsked, amplification, bounds.Amplification)
	}
	for class, share := range bounds.FailedShare {
		if failed := failedShare(result.Attempts, class); failed > share {
			r.violate("share of class %s not answered is %.4f, bound %.4f", class, failed, share)
		}
	}
	for class, bound := range bounds.LatencyP99MS {
		if latency := r.generator.Result.Quantile(class, 99); inMilliseconds(latency) > bound {
			r.violate("latency p99 of class %s is %.1f ms, bound %.1f ms", class, inMilliseconds(latency), bound)
		}
	}
	if len(r.spec.Load) > 0 && r.generator.Result.Count("", load.EndingAnswered) == 0 {
		r.violate("no request was answered")
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

// ConvergenceQuantile returns a percentile, 0 to 100, of the samples.
func ConvergenceQuantile(samples []Sample, percentile float64) time.Duration {
	const highest = int64(time.Hour / time.Microsecond)
	histogram := hdrhistogram.New(1, highest, 3)
	for _, sample := range samples {
		_ = histogram.RecordValue(min(sample.Convergence.Microseconds(), highest))
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// Merge joins outcomes of experiments that ran together under one name.
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
		merged.RunsAsked += each.RunsAsked
		if merged.Began.IsZero() || each.Began.Before(merged.Began) {
			merged.Began = each.Began
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

package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/load"
)

// Phase is a measured time range of a run.
type Phase struct {
	Name string    `json:"name"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// PhaseFigures holds the measurements of one class, or of all classes, in a phase.
// An attempt belongs to the phase of its intended start. The latency percentiles
// include answered attempts only.
type PhaseFigures struct {
	Phase            string  `json:"phase"`
	Class            string  `json:"class"` // "" for all classes
	OfferedPerSecond float64 `json:"offeredPerSecond"`
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	P50MS            float64 `json:"p50Ms"`
	P99MS            float64 `json:"p99Ms"`
}

func setRate(_ context.Context, r *run, step Step) error {
	if step.Factor <= 0 {
		return fault.New(fault.Settings, "give a factor above 0", "factor %g", step.Factor)
	}
	r.generator.SetFactor(step.Class, step.Factor)
	return nil
}

func measure(ctx context.Context, r *run, step Step) error {
	phase := Phase{Name: step.Name, From: time.Now()}
	err := sleep(ctx, step.For)
	phase.To = time.Now()
	r.phases = append(r.phases, phase)
	return err
}

// computePhaseFigures computes the figures of each phase, first for all classes
// together and then by class.
func computePhaseFigures(phases []Phase, attempts []load.Attempt) []PhaseFigures {
	var all []PhaseFigures
	for _, phase := range phases {
		within := slices.DeleteFunc(slices.Clone(attempts), func(attempt load.Attempt) bool {
			return attempt.Start.Before(phase.From) || !attempt.Start.Before(phase.To)
		})
		all = append(all, phase.figures("", within))
		for _, class := range classNames(within) {
			ofClass := slices.DeleteFunc(slices.Clone(within), func(attempt load.Attempt) bool { return attempt.Class != class })
			all = append(all, phase.figures(class, ofClass))
		}
	}
	return all
}

func classNames(attempts []load.Attempt) []string {
	var classes []string
	for _, attempt := range attempts {
		if !slices.Contains(classes, attempt.Class) {
			classes = append(classes, attempt.Class)
		}
	}
	slices.Sort(classes)
	return classes
}

func (p Phase) figures(class string, attempts []load.Attempt) PhaseFigures {
	histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	answered := 0
	for _, attempt := range attempts {
		if attempt.Ending == load.EndingAnswered {
			answered++
			_ = histogram.RecordValue(attempt.Latency.Microseconds())
		}
	}
	seconds := p.To.Sub(p.From).Seconds()
	quantile := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
	}
	return PhaseFigures{
		Phase:            p.Name,
		Class:            class,
		OfferedPerSecond: float64(len(attempts)) / seconds,
		GoodputPerSecond: float64(answered) / seconds,
		P50MS:            quantile(50),
		P99MS:            quantile(99),
	}
}

// Fields returns the figures as the fields of a log line.
func (f PhaseFigures) Fields() log.Fields {
	return log.Fields{
		"event":              "experiment.phase",
		"name":               f.Phase,
		"class":              f.Class,
		"offered_per_second": int(f.OfferedPerSecond),
		"goodput_per_second": int(f.GoodputPerSecond),
		"p50_ms":             f.P50MS,
		"p99_ms":             f.P99MS,
	}
}

// checkPhases adds a violation for each phase whose goodput is below its bound.
func (r *run) checkPhases(figures []PhaseFigures) {
	find := func(phase, class string) PhaseFigures {
		index := slices.IndexFunc(figures, func(each PhaseFigures) bool { return each.Phase == phase && each.Class == class })
		if index < 0 {
			r.addViolation("phase %s has no attempts of class %q", phase, class)
			return PhaseFigures{}
		}
		return figures[index]
	}
	for _, bound := range r.spec.Checks.Phases {
		measured := find(bound.Phase, bound.Class)
		base, of := measured.OfferedPerSecond, "offered"
		if bound.Of != "" {
			base, of = find(bound.Of, bound.Class).GoodputPerSecond, "the goodput of phase "+bound.Of
		}
		if measured.GoodputPerSecond < bound.Share*base {
			r.addViolation("goodput of class %q in phase %s is %.0f per second, below %.2f of %s, %.0f", bound.Class, bound.Phase, measured.GoodputPerSecond, bound.Share, of, base)
		}
	}
}

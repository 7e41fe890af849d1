// Package latency measures what the two hops through an edge and a worker's
// node add to a call. Requests go in alternating spans of one run directly to
// the stand-in worker and through the nodes, all real processes without link
// delays. Load is open-loop with exponential gaps; latency counts from the
// intended start, so that stalls are not omitted.
package latency

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

// Options say what to measure.
type Options struct {
	Mesh      mesh.Options // links are left out
	Rates     []float64    // requests a second, measured one after the other
	Span      time.Duration
	Spans     int // of each path for each rate
	RunMillis float64
	Slots     int
	Seed      uint64
}

// Path is a way to the worker.
type Path string

// The paths compared.
const (
	Direct  Path = "direct"
	Through Path = "through"
)

// Figures are the result at one rate.
type Figures struct {
	Rate          float64
	Requests      int // of each path
	Wrong         int // answers passed on as whole that are not, or are another's
	Failed        int // requests that got no whole answer
	Quantiles     map[Path]Quantiles
	CPUPerRequest time.Duration // of both nodes together, less what they use without requests
}

// Quantiles are latencies of answered requests.
type Quantiles struct{ P50, P99 time.Duration }

// Run starts a mesh of one edge and one worker and measures each rate.
func Run(ctx context.Context, options Options) ([]Figures, error) {
	options.Mesh.WithoutLinks = true
	started, err := mesh.Start(plan(options), options.Mesh)
	if err != nil {
		return nil, err
	}
	defer started.Close()
	if err := started.WaitReady(ctx); err != nil {
		return nil, err
	}
	run := &runner{options: options, mesh: started, caller: load.NewCaller(started.ClientAddress())}
	defer run.caller.Close()
	if err := run.waitRouted(ctx); err != nil {
		return nil, err
	}
	var all []Figures
	for _, rate := range options.Rates {
		figures, err := run.measure(ctx, rate)
		if err != nil {
			return all, err
		}
		all = append(all, figures)
	}
	return all, nil
}

// runner holds a run's mesh and caller.
type runner struct {
	options Options
	mesh    *mesh.Mesh
	caller  *load.Caller
	number  int
}

func (r *runner) class() load.Class {
	return load.Class{
		Name: "price-check", Method: "GET", Path: routePath + "/a4",
		AnswerBytes: answerBytes, RunMillis: r.options.RunMillis,
	}
}

const answerBytes = 500

// target returns where requests of a path go.
func (r *runner) target(path Path) load.Target {
	if path == Direct {
		return load.Target{Name: string(Direct), Address: r.mesh.Workers[0].Address, Direct: true}
	}
	edge := r.mesh.Edges()[0]
	return load.Target{Name: edge.Name, Address: edge.Public}
}

// waitRouted waits until a request gets through, as the worker must first be
// seen as ready.
func (r *runner) waitRouted(ctx context.Context) error {
	const pause = 50 * time.Millisecond
	for {
		attempt := r.caller.Submit(ctx, r.submission(Through, time.Now()))
		if attempt.Ending == load.EndingAnswered {
			return nil
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return fault.New(fault.Unready, "read the nodes' logs in the lab's directory", "no request got through: %s", attempt.Cause)
		}
	}
}

// measure alternates spans of both paths at a rate. The first span of each
// opens connections and does not count.
func (r *runner) measure(ctx context.Context, rate float64) (Figures, error) {
	figures := Figures{Rate: rate, Quantiles: map[Path]Quantiles{}}
	tallies := map[Path]*tally{Direct: newTally(), Through: newTally()}
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(rate)))
	for _, path := range []Path{Direct, Through} {
		if err := r.span(ctx, path, rate, random, newTally()); err != nil {
			return figures, err
		}
	}
	for span := range r.options.Spans {
		paths := []Path{Direct, Through}
		if span%2 == 1 {
			paths = []Path{Through, Direct}
		}
		for _, path := range paths {
			if err := r.span(ctx, path, rate, random, tallies[path]); err != nil {
				return figures, err
			}
		}
	}
	for path, counted := range tallies {
		figures.Quantiles[path] = counted.quantiles()
		figures.Wrong += counted.wrong
		figures.Failed += counted.failed
	}
	figures.Requests = tallies[Through].requests
	figures.CPUPerRequest = cpuPerRequest(tallies[Through], tallies[Direct])
	return figures, nil
}

// Fields returns the figures for a result line.
func (f Figures) Fields() log.Fields {
	direct, through := f.Quantiles[Direct], f.Quantiles[Through]
	return log.Fields{
		"rate":               f.Rate,
		"requests":           f.Requests,
		"wrong":              f.Wrong,
		"failed":             f.Failed,
		"direct_p50_us":      direct.P50.Microseconds(),
		"direct_p99_us":      direct.P99.Microseconds(),
		"through_p50_us":     through.P50.Microseconds(),
		"through_p99_us":     through.P99.Microseconds(),
		"added_p50_us":       (through.P50 - direct.P50).Microseconds(),
		"added_p99_us":       (through.P99 - direct.P99).Microseconds(),
		"cpu_us_per_request": f.CPUPerRequest.Microseconds(),
	}
}

// Package latency measures what the two hops through an edge and a worker's
// node add to a call. Requests go in alternating spans of one run directly to
// the stand-in worker and through the nodes, all real processes without link
// delays. Load is open-loop with exponential gaps; latency counts from the
// intended start, so that stalls are not omitted.
package latency

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

// Options say what to measure.
type Options struct {
	Mesh      mesh.Options // links are left out
	Former    string       // a node program to compare with in the same run, "" for none
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
	Former  Path = "former" // through nodes of another program
	Relayed Path = "relay"  // through two processes that only pass bytes on
)

// Figures are the result at one rate.
type Figures struct {
	Rate          float64
	Requests      int          // of each path
	Wrong         int          // answers passed on as whole that are not, or are another's
	Failed        map[Path]int // requests that got no whole answer
	Quantiles     map[Path]Quantiles
	CPUPerRequest map[Path]time.Duration // of both nodes together, less what they use without requests
}

// Quantiles are latencies of answered requests.
type Quantiles struct{ P50, P99 time.Duration }

// Run starts a mesh of one edge and one worker, and one more for the program
// to compare with, and measures each rate.
func Run(ctx context.Context, options Options) ([]Figures, error) {
	run := &runner{options: options, meshes: map[Path]*mesh.Mesh{}}
	defer run.close()
	if err := run.start(ctx, Through, options.Mesh); err != nil {
		return nil, err
	}
	run.meshes[Direct] = run.meshes[Through]
	if err := run.startRelays(options.Mesh.LabBinary); err != nil {
		return nil, err
	}
	run.meshes[Relayed] = run.meshes[Through]
	run.paths = []Path{Direct, Relayed, Through}
	if options.Former != "" {
		other := options.Mesh
		other.NodeBinary = options.Former
		other.Directory = filepath.Join(other.Directory, string(Former))
		if err := run.start(ctx, Former, other); err != nil {
			return nil, err
		}
		run.paths = append(run.paths, Former)
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

// runner holds a run's meshes and caller.
type runner struct {
	options Options
	meshes  map[Path]*mesh.Mesh
	paths   []Path
	caller  *load.Caller
	number  int
	relay   string   // address of the first relay
	relays  []func() // ends them
}

// start starts a mesh and waits until requests get through it.
func (r *runner) start(ctx context.Context, path Path, options mesh.Options) error {
	options.WithoutLinks = true
	started, err := mesh.Start(plan(r.options), options)
	if err != nil {
		return err
	}
	r.meshes[path] = started
	if err := started.WaitReady(ctx); err != nil {
		return err
	}
	if r.caller == nil {
		r.caller = load.NewCaller(started.ClientAddress())
	}
	return r.waitRouted(ctx, path)
}

func (r *runner) close() {
	if r.caller != nil {
		r.caller.Close()
	}
	for _, end := range r.relays {
		end()
	}
	for path, started := range r.meshes {
		if path == Through || path == Former {
			started.Close()
		}
	}
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
		return load.Target{Name: string(Direct), Address: r.meshes[Direct].Workers[0].Address, Direct: true}
	}
	if path == Relayed {
		return load.Target{Name: string(Relayed), Address: r.relay, Direct: true}
	}
	edge := r.meshes[path].Edges()[0]
	return load.Target{Name: edge.Name, Address: edge.Public}
}

// waitRouted waits until a request gets through, as the worker must first be
// seen as ready.
func (r *runner) waitRouted(ctx context.Context, path Path) error {
	const pause = 50 * time.Millisecond
	for {
		attempt := r.caller.Submit(ctx, r.submission(path, time.Now()))
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

// measure alternates spans of all paths at a rate. The first span of each
// opens connections and does not count.
func (r *runner) measure(ctx context.Context, rate float64) (Figures, error) {
	figures := Figures{Rate: rate, Quantiles: map[Path]Quantiles{}, Failed: map[Path]int{}, CPUPerRequest: map[Path]time.Duration{}}
	tallies := map[Path]*tally{}
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(rate)))
	for _, path := range r.paths {
		tallies[path] = newTally()
		if err := r.span(ctx, path, rate, random, newTally()); err != nil {
			return figures, err
		}
	}
	paths := slices.Clone(r.paths)
	for range r.options.Spans {
		random.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
		for _, path := range paths {
			if err := r.span(ctx, path, rate, random, tallies[path]); err != nil {
				return figures, err
			}
		}
	}
	for path, counted := range tallies {
		figures.Quantiles[path] = counted.quantiles()
		figures.Wrong += counted.wrong
		figures.Failed[path] = counted.failed
		figures.CPUPerRequest[path] = cpuPerRequest(counted, tallies[Direct])
	}
	figures.Requests = tallies[Through].requests
	return figures, nil
}

// Fields returns the figures for a result line.
func (f Figures) Fields() log.Fields {
	direct := f.Quantiles[Direct]
	fields := log.Fields{
		"rate":               f.Rate,
		"requests":           f.Requests,
		"wrong":              f.Wrong,
		"failed":             f.Failed[Through],
		"cpu_us_per_request": f.CPUPerRequest[Through].Microseconds(),
	}
	for path, seen := range f.Quantiles {
		if path != Through {
			fields[string(path)+"_failed"] = f.Failed[path]
		}
		fields[string(path)+"_p50_us"] = seen.P50.Microseconds()
		fields[string(path)+"_p99_us"] = seen.P99.Microseconds()
	}
	for path, prefix := range map[Path]string{Through: "", Former: "former_", Relayed: "relay_"} {
		if seen, measured := f.Quantiles[path]; measured {
			fields[prefix+"added_p50_us"] = (seen.P50 - direct.P50).Microseconds()
			fields[prefix+"added_p99_us"] = (seen.P99 - direct.P99).Microseconds()
		}
	}
	if used, measured := f.CPUPerRequest[Former]; measured {
		fields["former_cpu_us_per_request"] = used.Microseconds()
	}
	return fields
}

// Package latency measures the latency that the two hops through an edge node and
// a worker's node add to a call. In alternating spans of one run, requests go
// directly to the stand-in worker and through the nodes. All are real processes
// without link delays. The load is open-loop with exponential interarrival times;
// latency is measured from the intended start, so that it includes stalls.
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

// Options configures a measurement.
type Options struct {
	Mesh      mesh.Options // always used with WithoutLinks set
	Former    string       // path of another node program to compare with in the same run, "" for none
	Rates     []float64    // requests per second, measured one after the other
	Span      time.Duration
	Spans     int // number of spans for each path and rate
	RunMillis float64
	Slots     int
	Seed      uint64
}

// Path is a route of requests to the worker.
type Path string

// The paths compared.
const (
	Direct  Path = "direct"
	Through Path = "through"
	Former  Path = "former" // through nodes of another program
	Relayed Path = "relay"  // through two processes that only forward bytes
)

// Figures holds the results at one rate.
type Figures struct {
	Rate          float64
	Requests      int          // through the nodes
	Wrong         int          // responses reported as answered that were incomplete or of another request, on all paths
	Failed        map[Path]int // requests without a complete response
	Quantiles     map[Path]Quantiles
	CPUPerRequest map[Path]time.Duration // of both nodes together, without their idle use
}

// Quantiles holds latency percentiles of answered requests.
type Quantiles struct{ P50, P99 time.Duration }

// Run starts a mesh of one edge node and one worker, and a second one if there is
// another program to compare with, and measures each rate. On an error it returns
// the figures of the rates that are complete.
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

// runner is the state of a measurement.
type runner struct {
	options           Options
	meshes            map[Path]*mesh.Mesh
	paths             []Path
	caller            *load.Caller
	lastRequestNumber int
	relayAddress      string   // address of the first relay, host:port
	relayStops        []func() // each stops one relay
}

// start starts a mesh and waits until a request through it is answered.
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
	for _, end := range r.relayStops {
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
		FillerBytes: fillerBytes, RunMillis: r.options.RunMillis,
	}
}

const fillerBytes = 500

// target returns the target of requests on a path.
func (r *runner) target(path Path) load.Target {
	if path == Direct {
		return load.Target{Name: string(Direct), Address: r.meshes[Direct].Workers[0].Address, Direct: true}
	}
	if path == Relayed {
		return load.Target{Name: string(Relayed), Address: r.relayAddress, Direct: true}
	}
	edge := r.meshes[path].Edges()[0]
	return load.Target{Name: edge.Name, Address: edge.Public}
}

// waitRouted retries a request until it is answered: the nodes route requests only
// after they have observed that the worker is ready.
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
			return fault.New(fault.Unready, "read the nodes' logs in the lab's directory", "no request was answered: %s", attempt.Cause)
		}
	}
}

// measure measures a rate in spans that alternate between all paths, in random
// order. The first span of each path opens connections and is not counted.
func (r *runner) measure(ctx context.Context, rate float64) (Figures, error) {
	figures := Figures{Rate: rate, Quantiles: map[Path]Quantiles{}, Failed: map[Path]int{}, CPUPerRequest: map[Path]time.Duration{}}
	tallies := map[Path]*tally{}
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(rate)))
	for _, path := range r.paths {
		tallies[path] = newTally()
		if err := r.runSpan(ctx, path, rate, random, newTally()); err != nil {
			return figures, err
		}
	}
	paths := slices.Clone(r.paths)
	for range r.options.Spans {
		random.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
		for _, path := range paths {
			if err := r.runSpan(ctx, path, rate, random, tallies[path]); err != nil {
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

// Fields returns the figures as the fields of a result line.
func (f Figures) Fields() log.Fields {
	direct := f.Quantiles[Direct]
	fields := log.Fields{
		"rate":               f.Rate,
		"requests":           f.Requests,
		"wrong":              f.Wrong,
		"failed":             f.Failed[Through],
		"cpu_us_per_request": f.CPUPerRequest[Through].Microseconds(),
	}
	for path, quantiles := range f.Quantiles {
		if path != Through {
			fields[string(path)+"_failed"] = f.Failed[path]
		}
		fields[string(path)+"_p50_us"] = quantiles.P50.Microseconds()
		fields[string(path)+"_p99_us"] = quantiles.P99.Microseconds()
	}
	for path, prefix := range map[Path]string{Through: "", Former: "former_", Relayed: "relay_"} {
		if quantiles, measured := f.Quantiles[path]; measured {
			fields[prefix+"added_p50_us"] = (quantiles.P50 - direct.P50).Microseconds()
			fields[prefix+"added_p99_us"] = (quantiles.P99 - direct.P99).Microseconds()
		}
	}
	if used, measured := f.CPUPerRequest[Former]; measured {
		fields["former_cpu_us_per_request"] = used.Microseconds()
	}
	return fields
}

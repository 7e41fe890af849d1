package overload

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/apex/log"

	"sliphead/internal/declaration"
	"sliphead/lab/load"
	"sliphead/lab/worker"
)

// Options say how long to try.
type Options struct {
	Warm   time.Duration
	Length time.Duration
	Seed   uint64
}

// The overload trial: three workers of six slots do 450 requests a second.
const (
	overloadWorkers = 3
	overloadRun     = 40 * time.Millisecond
	capacity        = float64(overloadWorkers*slots) / 0.040
	priceShare      = 0.10 // of capacity
	counterShare    = 0.25
)

// What must hold at five times of capacity.
const (
	leastClassShare = 0.95 // of price checks and counters
	leastTotalShare = 0.90 // of the goodput at capacity
)

func route(name string, priority declaration.Priority, deadline time.Duration) declaration.Route {
	return declaration.Route{
		Name: name, PathPrefix: "/" + name, Service: service, Priority: priority, Repeatable: true,
		DeadlineMS: deadline.Milliseconds(),
	}
}

func class(of declaration.Route, rate float64) load.Class {
	return load.Class{Name: of.Name, Method: "GET", Path: of.PathPrefix, RatePerSecond: rate, DeadlineMS: int(of.DeadlineMS), AnswerBytes: 200}
}

// Overload offers 1, 2 and 5 times of capacity and returns goodput by class.
func Overload(ctx context.Context, options Options) (log.Fields, bool, error) {
	routes := []declaration.Route{
		route("price-check", declaration.PriorityInternal, time.Second),
		route("counter", declaration.PriorityInteractive, 2*time.Second),
		route("report", declaration.PriorityBatch, 20*time.Second),
	}
	fields := log.Fields{"capacity_per_s": capacity}
	passed := true
	goodput := map[float64]int{}
	for _, multiple := range []float64{1, 2, 5} {
		tallies, err := overloadAt(ctx, options, routes, multiple)
		if err != nil {
			return fields, false, err
		}
		for name, counted := range tallies {
			key := fmt.Sprintf("x%g_%s", multiple, name)
			fields[key+"_offered"] = counted.Offered
			fields[key+"_share"] = round(counted.share())
			goodput[multiple] += counted.Answered
			passed = passed && counted.Wrong == 0 && (name == "report" || counted.share() >= leastClassShare)
		}
		fields[fmt.Sprintf("x%g_goodput_per_s", multiple)] = round(float64(goodput[multiple]) / options.Length.Seconds())
	}
	total := float64(goodput[5]) / float64(max(1, goodput[1]))
	fields["x5_of_x1"] = round(total)
	return fields, passed && total >= leastTotalShare, nil
}

func overloadAt(ctx context.Context, options Options, routes []declaration.Route, multiple float64) (map[string]tally, error) {
	fleet, err := startFleet(overloadWorkers, overloadRun, routes)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	targets, err := fleet.target(fleet.edge(routes, fleet.endpoints))
	if err != nil {
		return nil, err
	}
	rest := multiple - priceShare - counterShare
	classes := []load.Class{
		class(routes[0], priceShare*capacity),
		class(routes[1], counterShare*capacity),
		class(routes[2], rest*capacity),
	}
	return offer(ctx, targets, classes, fmt.Sprintf("x%g", multiple), options.Warm, options.Length), nil
}

// The balance trial: one of six workers misbehaves.
const (
	balanceWorkers  = 6
	balanceRun      = 10 * time.Millisecond
	balanceRate     = 300.0
	balanceDeadline = 80 * time.Millisecond // less than a slow run
)

// Balance returns the share of requests over their deadline while one worker
// misbehaves, with our choice and with a random one in alternating spans.
func Balance(ctx context.Context, options Options) (log.Fields, bool, error) {
	fields := log.Fields{}
	passed := true
	for _, mode := range []worker.Fault{worker.FaultNone, worker.FaultSlow, worker.FaultFlap, worker.FaultHang} {
		over, err := balanceWith(ctx, options, mode)
		if err != nil {
			return fields, false, err
		}
		name := string(mode)
		if mode == worker.FaultNone {
			name = "healthy"
		}
		fields[name+"_over"] = round(over["ours"])
		fields[name+"_random_over"] = round(over["random"])
		passed = passed && (mode == worker.FaultNone || over["ours"] < over["random"])
	}
	return fields, passed, nil
}

// balanceSpans is the number of spans of each way of choice.
const balanceSpans = 2

func balanceWith(ctx context.Context, options Options, mode worker.Fault) (map[string]float64, error) {
	routes := []declaration.Route{route("price-check", declaration.PriorityInternal, balanceDeadline)}
	sums := map[string]tally{}
	for span := range 2 * balanceSpans {
		way := []string{"ours", "random"}[span%2]
		counted, err := balanceSpan(ctx, options, routes, mode, way)
		if err != nil {
			return nil, err
		}
		sum := sums[way]
		sum.Offered += counted.Offered
		sum.Answered += counted.Answered
		sums[way] = sum
	}
	return map[string]float64{"ours": 1 - sums["ours"].share(), "random": 1 - sums["random"].share()}, nil
}

// balanceSpan tries one way of choice on fresh workers, so that what it has to
// learn counts as well.
func balanceSpan(ctx context.Context, options Options, routes []declaration.Route, mode worker.Fault, way string) (tally, error) {
	fleet, err := startFleet(balanceWorkers, balanceRun, routes)
	if err != nil {
		return tally{}, err
	}
	defer fleet.close()
	handler := fleet.randomEdge(routes, options.Seed)
	if way == "ours" {
		handler = fleet.edge(routes, fleet.endpoints)
	}
	targets, err := fleet.target(handler)
	if err != nil {
		return tally{}, err
	}
	fleet.workers[0].SetFault(mode)
	counted := offer(ctx, targets, []load.Class{class(routes[0], balanceRate)}, way, 0, options.Length/balanceSpans)
	return counted[routes[0].Name], nil
}

func round(share float64) float64 { return math.Round(share*1e4) / 1e4 }

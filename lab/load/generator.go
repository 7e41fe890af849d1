package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Generator generates the load of several classes against edge nodes, or workers for
// classes with Direct set.
type Generator struct {
	Caller  *Caller
	Targets []Target
	Direct  map[string][]Target // workers by service, for classes that call them directly
	Result  *Result

	factors  sync.Map // float64 by class name
	prefix   string   // of nonces, so that two generators do not use the same one
	number   atomic.Int64
	inFlight atomic.Int64
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// maxInFlight limits the requests that a generator has in flight. A request above it
// is recorded as unsent.
const maxInFlight = 4000

// resubmitDelay is the time from the end of an attempt until the caller retries.
const resubmitDelay = 300 * time.Millisecond

// NewGenerator returns a generator whose nonces begin with prefix.
func NewGenerator(caller *Caller, targets []Target, prefix string) *Generator {
	return &Generator{Caller: caller, Targets: targets, Result: newResult(), prefix: prefix}
}

// SetFactor sets the factor by which the rate of a class is multiplied. An empty
// class sets it for all classes and removes the factors of single ones.
func (g *Generator) SetFactor(class string, factor float64) {
	if class == "" {
		g.factors.Clear()
	}
	g.factors.Store(class, factor)
}

// factor returns the current factor of a class's rate.
func (g *Generator) factor(class string) float64 {
	for _, name := range []string{class, ""} {
		if factor, found := g.factors.Load(name); found {
			return factor.(float64)
		}
	}
	return 1
}

// targets returns the targets of a class.
func (g *Generator) targets(class Class) []Target {
	if class.Direct != "" {
		return g.Direct[class.Direct]
	}
	return g.Targets
}

// Start starts the load of all classes, until Stop is called.
func (g *Generator) Start(classes []Class) {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, class := range classes {
		g.running.Go(func() { g.run(ctx, class) })
	}
}

// Stop stops starting requests and waits for those in flight, which end at their
// deadlines at the latest.
func (g *Generator) Stop() {
	g.cancel()
	g.running.Wait()
}

// run starts requests of one class at their intended times.
func (g *Generator) run(ctx context.Context, class Class) {
	intended := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		g.begin(ctx, class, intended)
		intended = intended.Add(time.Duration(float64(class.interval()) / g.factor(class.Name)))
		timer.Reset(time.Until(intended))
	}
}

func (g *Generator) begin(ctx context.Context, class Class, intended time.Time) {
	number := g.number.Add(1)
	submission := Submission{
		Class:  class,
		Nonce:  fmt.Sprintf("%s-%s-%d", g.prefix, class.Name, number),
		Number: 1,
		Start:  intended,
	}
	if class.Keyed {
		submission.Key = "key-" + submission.Nonce
	}
	if g.inFlight.Add(1) > maxInFlight {
		g.inFlight.Add(-1)
		g.Result.add(Attempt{Class: class.Name, Nonce: submission.Nonce, Start: intended, Ending: EndingUnsent})
		return
	}
	g.Result.begin(class.Name, intended)
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		g.submit(ctx, submission, number)
	})
}

// submit sends a request and retries up to the class's number of resubmissions
// until it is answered. Each attempt goes to the next target.
func (g *Generator) submit(running context.Context, submission Submission, number int64) {
	for {
		targets := g.targets(submission.Class)
		submission.Target = targets[(number+int64(submission.Number)-1)%int64(len(targets))]
		attempt := g.Caller.Submit(context.Background(), submission)
		g.Result.finish(attempt)
		final := attempt.Ending == EndingAnswered || attempt.Ending == EndingWrong
		if final || submission.Number > submission.Class.Resubmissions || running.Err() != nil {
			return
		}
		time.Sleep(resubmitDelay)
		submission.Number++
		submission.Start = time.Now()
		g.Result.begin(submission.Class.Name, submission.Start)
	}
}

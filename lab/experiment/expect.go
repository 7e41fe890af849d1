package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

const standardBound = 5 * time.Second // of steps that give none

func (s Step) bound() time.Duration {
	if s.Within > 0 {
		return s.Within
	}
	return standardBound
}

func wait(ctx context.Context, _ *run, step Step) error { return pass(ctx, step.For) }

func pass(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitFirst waits until some node has the newest revision in force.
func waitFirst(ctx context.Context, r *run, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.bound())
	defer cancel()
	first := make(chan struct{}, len(r.mesh.Nodes))
	for _, node := range r.mesh.Nodes {
		go func() {
			if r.mesh.Record.WaitInForce(ctx, []string{node.Name}, r.document.Epoch, r.revision) == nil {
				first <- struct{}{}
			}
		}()
	}
	select {
	case <-first:
	case <-ctx.Done():
		r.violate("revision %d came into force on no node within %s", r.revision, step.bound())
	}
	return nil
}

// waitInForce waits until the newest revision is in force on the selected
// nodes and samples how long each took.
func waitInForce(ctx context.Context, r *run, step Step) error {
	nodes, err := r.selectNodes(step.Nodes)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, step.bound())
	defer cancel()
	behind := r.mesh.Record.WaitInForce(bounded, namesOf(nodes), r.document.Epoch, r.revision)
	if len(behind) > 0 {
		r.violate("revision %d is not in force on %v within %s", r.revision, behind, step.bound())
	}
	for _, node := range nodes {
		if !slices.Contains(behind, node.Name) {
			r.sample(node)
		}
	}
	return nil
}

func (r *run) sample(node *mesh.Node) {
	activation, found := r.mesh.Record.FirstInForce(node.Name, r.document.Epoch, r.revision)
	if !found {
		return
	}
	took := max(0, activation.At.Sub(r.published))
	r.samples = append(r.samples, Sample{Mesh: r.mesh.Plan.Name, Node: node.Name, Revision: r.revision, Convergence: took})
	r.logger.WithFields(log.Fields{
		"event":    "version.in-force",
		"node":     node.Name,
		"version":  activation.Version.String(),
		"after_ms": took.Milliseconds(),
	}).Info("")
}

func waitReady(ctx context.Context, r *run, step Step) error {
	nodes, err := r.selectNodes(step.Nodes)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, step.bound())
	defer cancel()
	for _, node := range nodes {
		if err := node.WaitReady(bounded); err != nil {
			r.violate("%v", err)
		}
	}
	return nil
}

// answeredSince returns which workers answered attempts of a class that were
// intended to start since a moment.
func (r *run) answeredSince(class string, from time.Time) (map[string]int, error) {
	known := slices.ContainsFunc(r.spec.Load, func(each load.Class) bool { return each.Name == class })
	if !known {
		return nil, fault.New(fault.Settings, "name a class of the load", "unknown class %q", class)
	}
	return r.generator.Result.AnsweredBy(class, from, time.Now()), nil
}

// answersUntil lets the step's time pass, and then up to its bound until all
// attempts intended to start in it have ended and the answers are enough. It
// returns which workers answered.
func (r *run) answersUntil(ctx context.Context, step Step, enough func(map[string]int) bool) (map[string]int, error) {
	from := time.Now()
	if err := pass(ctx, step.For); err != nil {
		return nil, err
	}
	to := time.Now()
	bound := to.Add(step.bound())
	for {
		settled := r.generator.Result.Pending(step.Class, from, to) == 0
		answered, err := r.answeredSince(step.Class, from)
		if err != nil || settled && enough(answered) || time.Now().After(bound) {
			return answered, err
		}
		if err := pass(ctx, answersPoll); err != nil {
			return nil, err
		}
	}
}

// answersPoll is the time between two looks at the answers.
const answersPoll = 50 * time.Millisecond

func expectWorkers(ctx context.Context, r *run, step Step) error {
	answered, err := r.answersUntil(ctx, step, func(answered map[string]int) bool {
		missing := slices.ContainsFunc(step.Workers, func(name string) bool { return answered[name] == 0 })
		return !missing
	})
	if err != nil {
		return err
	}
	for _, name := range step.Workers {
		if answered[name] == 0 {
			r.violate("class %s was answered by %v, not by %s", step.Class, answered, name)
		}
	}
	for name := range answered {
		if !slices.Contains(step.Workers, name) {
			r.violate("class %s was answered by %s, which is not selected", step.Class, name)
		}
	}
	r.logger.WithFields(log.Fields{"event": "requests.follow", "class": step.Class, "answered_by": answered}).Info("")
	return nil
}

func expectAnswered(ctx context.Context, r *run, step Step) error {
	sum := func(answered map[string]int) int {
		total := 0
		for _, count := range answered {
			total += count
		}
		return total
	}
	answered, err := r.answersUntil(ctx, step, func(answered map[string]int) bool { return sum(answered) >= step.AtLeast })
	if err != nil {
		return err
	}
	if total := sum(answered); total < step.AtLeast {
		r.violate("class %s was answered %d times within %s, want %d", step.Class, total, step.For+step.bound(), step.AtLeast)
	}
	return nil
}

func expectExit(_ context.Context, r *run, step Step) error {
	nodes, err := r.selectNodes(step.Nodes)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		code, ended := node.WaitExit(step.bound())
		if !ended || code != 0 {
			r.violate("node %s: ended=%t exit code %d within %s", node.Name, ended, code, step.bound())
		}
	}
	return nil
}

// expectHeld lets time pass, in which the newest revision may not come into
// force.
func expectHeld(ctx context.Context, r *run, step Step) error {
	if err := pass(ctx, step.For); err != nil {
		return err
	}
	for _, node := range r.mesh.Nodes {
		if _, found := r.mesh.Record.FirstInForce(node.Name, r.document.Epoch, r.revision); found {
			r.violate("revision %d, which must not, came into force on %s", r.revision, node.Name)
		}
	}
	return nil
}

// expectNoRuns lets time pass, in which the named workers may begin no run.
func expectNoRuns(ctx context.Context, r *run, step Step) error {
	from := time.Now()
	if err := pass(ctx, step.For); err != nil {
		return err
	}
	for _, each := range r.mesh.Workers {
		if !slices.Contains(step.Workers, each.Name) {
			continue
		}
		runs, err := each.Runs()
		if err != nil {
			return err
		}
		for _, entry := range runs {
			if entry.Begun.After(from) {
				r.violate("worker %s began %s after it had left", each.Name, entry.Nonce)
				break
			}
		}
	}
	return nil
}

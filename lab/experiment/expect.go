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

const defaultTimeout = 5 * time.Second // for steps without their own

func (s Step) timeout() time.Duration {
	if s.Within > 0 {
		return s.Within
	}
	return defaultTimeout
}

func wait(ctx context.Context, _ *run, step Step) error { return sleep(ctx, step.For) }

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitFirst waits until the newest revision is in force on at least one node.
func waitFirst(ctx context.Context, r *run, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.timeout())
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
		r.addViolation("revision %d came into force on no node within %s", r.revision, step.timeout())
	}
	return nil
}

// waitInForce waits until the newest revision is in force on the selected nodes
// and records the convergence time of each.
func waitInForce(ctx context.Context, r *run, step Step) error {
	nodes, err := r.selectNodes(step.Nodes)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, step.timeout())
	defer cancel()
	behind := r.mesh.Record.WaitInForce(bounded, nodeNames(nodes), r.document.Epoch, r.revision)
	if len(behind) > 0 {
		r.addViolation("revision %d is not in force on %v within %s", r.revision, behind, step.timeout())
	}
	for _, node := range nodes {
		if !slices.Contains(behind, node.Name) {
			r.recordConvergence(node)
		}
	}
	return nil
}

func (r *run) recordConvergence(node *mesh.Node) {
	activation, found := r.mesh.Record.FirstInForce(node.Name, r.document.Epoch, r.revision)
	if !found {
		return
	}
	took := max(0, activation.At.Sub(r.publishedAt))
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
	bounded, cancel := context.WithTimeout(ctx, step.timeout())
	defer cancel()
	for _, node := range nodes {
		if err := node.WaitReady(bounded); err != nil {
			r.addViolation("%v", err)
		}
	}
	return nil
}

// answeredSinceByWorker returns the number of answered attempts by worker, of the
// attempts of a class with an intended start at or after from.
func (r *run) answeredSinceByWorker(class string, from time.Time) (map[string]int, error) {
	declared := slices.ContainsFunc(r.spec.Load, func(each load.Class) bool { return each.Name == class })
	if !declared {
		return nil, fault.New(fault.Settings, "name a class of the load", "unknown class %q", class)
	}
	return r.generator.Result.AnsweredBy(class, from, time.Now()), nil
}

// waitForResponses waits for the step's duration, and then, up to its timeout,
// until all attempts with an intended start in that duration have ended and
// enough accepts the responses. It returns the number of responses by worker.
func (r *run) waitForResponses(ctx context.Context, step Step, enough func(map[string]int) bool) (map[string]int, error) {
	from := time.Now()
	if err := sleep(ctx, step.For); err != nil {
		return nil, err
	}
	to := time.Now()
	deadline := to.Add(step.timeout())
	for {
		settled := r.generator.Result.Pending(step.Class, from, to) == 0
		answered, err := r.answeredSinceByWorker(step.Class, from)
		if err != nil || settled && enough(answered) || time.Now().After(deadline) {
			return answered, err
		}
		if err := sleep(ctx, responsePollInterval); err != nil {
			return nil, err
		}
	}
}

// responsePollInterval is the time between two checks of the responses.
const responsePollInterval = 50 * time.Millisecond

func expectWorkers(ctx context.Context, r *run, step Step) error {
	answered, err := r.waitForResponses(ctx, step, func(answered map[string]int) bool {
		missing := slices.ContainsFunc(step.Workers, func(name string) bool { return answered[name] == 0 })
		return !missing
	})
	if err != nil {
		return err
	}
	for _, name := range step.Workers {
		if answered[name] == 0 {
			r.addViolation("class %s received responses from %v, but none from %s", step.Class, answered, name)
		}
	}
	for name := range answered {
		if !slices.Contains(step.Workers, name) {
			r.addViolation("class %s received responses from %s, which is not selected", step.Class, name)
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
	answered, err := r.waitForResponses(ctx, step, func(answered map[string]int) bool { return sum(answered) >= step.AtLeast })
	if err != nil {
		return err
	}
	if total := sum(answered); total < step.AtLeast {
		r.addViolation("class %s received %d responses within %s, want %d", step.Class, total, step.For+step.timeout(), step.AtLeast)
	}
	return nil
}

func expectExit(_ context.Context, r *run, step Step) error {
	nodes, err := r.selectNodes(step.Nodes)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		code, ended := node.WaitExit(step.timeout())
		if !ended || code != 0 {
			r.addViolation("node %s: exited=%t with code %d within %s, want exit with code 0", node.Name, ended, code, step.timeout())
		}
	}
	return nil
}

// expectNotInForce checks that the newest revision does not come into force on any
// node within the step's duration.
func expectNotInForce(ctx context.Context, r *run, step Step) error {
	if err := sleep(ctx, step.For); err != nil {
		return err
	}
	for _, node := range r.mesh.Nodes {
		if _, found := r.mesh.Record.FirstInForce(node.Name, r.document.Epoch, r.revision); found {
			r.addViolation("revision %d came into force on %s, but must not", r.revision, node.Name)
		}
	}
	return nil
}

// expectNoRuns checks that the named workers start no run within the step's duration.
func expectNoRuns(ctx context.Context, r *run, step Step) error {
	from := time.Now()
	if err := sleep(ctx, step.For); err != nil {
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
				r.addViolation("worker %s started a run of %s, but must start none", each.Name, entry.Nonce)
				break
			}
		}
	}
	return nil
}

package experiment

import (
	"context"
	"time"

	"github.com/apex/log"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

// Options configures the run of an experiment.
type Options struct {
	Mesh   mesh.Options
	Logger log.Interface
}

// startTimeout bounds the time until all nodes are ready and have the first version in force.
const startTimeout = 30 * time.Second

// run is the state of a running experiment.
type run struct {
	spec         *Spec
	mesh         *mesh.Mesh
	logger       log.Interface
	document     *declaration.Document
	revision     uint64 // newest published
	publishedAt  time.Time
	generator    *load.Generator
	lastSelected []*mesh.Node // by the latest selection
	samples      []Sample
	violations   []string
	phases       []Phase
	startedAt    time.Time
	startBytes   map[string]controlBytes
}

// Sample is the time from the publication of a revision until it was in force on a node.
type Sample struct {
	Mesh        string        `json:"mesh"`
	Node        string        `json:"node"`
	Revision    uint64        `json:"revision"`
	Convergence time.Duration `json:"convergenceNs"`
}

// Run runs an experiment on a plan. It stops everything that it started, also
// on an error.
func Run(ctx context.Context, spec *Spec, plan *mesh.Plan, options Options) (*Outcome, error) {
	options.Mesh.WithoutLinks = spec.WithoutLinks
	started, err := mesh.Start(plan, options.Mesh)
	if err != nil {
		return nil, err
	}
	defer started.Close()
	current := &run{spec: spec, mesh: started, logger: options.Logger.WithField("mesh", plan.Name), document: started.Plan.Document()}
	if err := current.waitStart(ctx); err != nil {
		return nil, err
	}
	current.startLoad()
	stepError := current.runSteps(ctx)
	current.generator.Stop()
	if stepError != nil {
		return nil, stepError
	}
	return current.finish()
}

func (r *run) waitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	if err := r.mesh.WaitReady(ctx); err != nil {
		return err
	}
	r.revision = r.mesh.Source.Revision()
	if behind := r.mesh.Record.WaitInForce(ctx, r.mesh.NodeNames(), r.document.Epoch, r.revision); len(behind) > 0 {
		return fault.New(fault.Unready, "read these nodes' logs in the lab's directory", "nodes %v did not log the first version as active in time", behind)
	}
	r.logger.WithFields(log.Fields{"event": "mesh.ready", "nodes": len(r.mesh.Nodes), "after_ms": time.Since(begin).Milliseconds()}).Info("")
	return nil
}

func (r *run) startLoad() {
	targets := make([]load.Target, 0)
	for _, edge := range r.mesh.Edges() {
		targets = append(targets, load.Target{Name: edge.Name, Address: edge.Public})
	}
	r.generator = load.NewGenerator(load.NewCaller(r.mesh.ClientAddress()), targets, r.spec.Name)
	r.generator.Direct = r.directTargets()
	r.mesh.Source.ResetCounts()
	r.startedAt = time.Now()
	r.startBytes = r.readControlBytesByNode()
	r.generator.Start(r.spec.Load)
}

// directTargets returns the workers by service, for classes that call workers
// directly instead of through nodes.
func (r *run) directTargets() map[string][]load.Target {
	targets := map[string][]load.Target{}
	for _, worker := range r.mesh.Workers {
		service := worker.PlannedWorker.Service.Name
		target := load.Target{Name: worker.Name, Address: worker.Address, Credential: worker.Credential(), Direct: true}
		targets[service] = append(targets[service], target)
	}
	return targets
}

// runSteps executes all steps. An unmet expectation is recorded as a violation; an
// error is returned only for a step that cannot be executed.
func (r *run) runSteps(ctx context.Context) error {
	for index, step := range r.spec.Steps {
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.Deadline, "run it again without interrupting it", "experiment %s was interrupted", r.spec.Name)
		}
		begin := time.Now()
		violations := len(r.violations)
		if err := actions[step.Action](ctx, r, step); err != nil {
			return fault.Wrap(err, fault.Settings, "correct the step", "step %d (%s) of %s", index+1, step.Action, r.spec.Name)
		}
		r.logger.WithFields(log.Fields{
			"event":    "experiment.step",
			"step":     index + 1,
			"action":   step.Action,
			"holds":    len(r.violations) == violations,
			"after_ms": time.Since(begin).Milliseconds(),
		}).Info("")
	}
	return nil
}

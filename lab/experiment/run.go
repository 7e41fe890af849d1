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

// Options say how to run an experiment.
type Options struct {
	Mesh   mesh.Options
	Logger log.Interface
}

// startBound is the longest that a mesh may take until all nodes are ready.
const startBound = 30 * time.Second

// run is an experiment under way.
type run struct {
	spec       *Spec
	mesh       *mesh.Mesh
	logger     log.Interface
	document   *declaration.Document
	revision   uint64 // newest published
	published  time.Time
	generator  *load.Generator
	selected   []*mesh.Node // by the step before
	samples    []Sample
	violations []string
	phases     []Phase
	began      time.Time
	startBytes map[string]controlBytes
}

// Sample is the time that a change took to come into force on a node.
type Sample struct {
	Mesh        string        `json:"mesh"`
	Node        string        `json:"node"`
	Revision    uint64        `json:"revision"`
	Convergence time.Duration `json:"convergenceNs"`
}

// Run runs an experiment on a plan. It ends everything that it started, also
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
	stepError := current.steps(ctx)
	current.generator.Stop()
	if stepError != nil {
		return nil, stepError
	}
	return current.finish()
}

func (r *run) waitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	begin := time.Now()
	if err := r.mesh.WaitReady(ctx); err != nil {
		return err
	}
	r.revision = r.mesh.Source.Revision()
	if behind := r.mesh.Record.WaitInForce(ctx, r.mesh.NodeNames(), r.document.Epoch, r.revision); len(behind) > 0 {
		return fault.New(fault.Unready, "read these nodes' logs in the lab's directory", "nodes %v never logged the first version as active", behind)
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
	r.began = time.Now()
	r.startBytes = r.readControlBytes()
	r.generator.Start(r.spec.Load)
}

// directTargets returns the workers by service, for classes that call them
// without any node.
func (r *run) directTargets() map[string][]load.Target {
	targets := map[string][]load.Target{}
	for _, worker := range r.mesh.Workers {
		service := worker.PlannedWorker.Service.Name
		target := load.Target{Name: worker.Name, Address: worker.Address, Credential: worker.Credential(), Direct: true}
		targets[service] = append(targets[service], target)
	}
	return targets
}

// steps carries out all steps. A step that does not hold is a violation; only
// a step that cannot be carried out is an error.
func (r *run) steps(ctx context.Context) error {
	for index, step := range r.spec.Steps {
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.Deadline, "run it again and let it end", "experiment %s was interrupted", r.spec.Name)
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

// Package experiment runs experiment files. An experiment puts a mesh under load,
// executes steps that change the configuration, inject faults or check
// expectations, audits all attempts at the end, and gives one verdict.
package experiment

import (
	"path/filepath"
	"time"

	"github.com/go-playground/validator/v10"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

// Spec is the content of an experiment file in experiments/.
type Spec struct {
	Name  string     `yaml:"name" validate:"required"`
	About string     `yaml:"about"`                    // what the experiment shows
	Mesh  string     `yaml:"mesh" validate:"required"` // plan file, relative to the experiment file
	Scale mesh.Scale `yaml:"scale"`
	// WithoutLinks connects all processes directly over loopback, without link
	// delays, so that latency figures contain only the nodes' own share.
	WithoutLinks bool         `yaml:"withoutLinks"`
	Load         []load.Class `yaml:"load" validate:"dive"`
	Steps        []Step       `yaml:"steps" validate:"required,dive"`
	Checks       Checks       `yaml:"checks"`
}

// Checks holds bounds on the figures; zero means no bound. Regardless of them, an
// experiment fails if a response is incomplete or belongs to another request, if
// an attempt reported as not run has run, if an idempotency key ran more than
// once, or if a node returned to an older version.
type Checks struct {
	ConvergenceP99MS float64 `yaml:"convergenceP99Ms"`
	Amplification    float64 `yaml:"amplification"` // ratio of actual to expected runs
	// FailedShare bounds the share of attempts that did not end as answered, by class.
	FailedShare map[string]float64 `yaml:"failedShare"`
	// LatencyP99MS bounds the latency of answered attempts, by class.
	LatencyP99MS map[string]float64 `yaml:"latencyP99Ms"`
	Phases       []PhaseCheck       `yaml:"phases" validate:"dive"`
}

// PhaseCheck sets the minimum goodput of a measured phase, as a share of the
// phase's own offered rate or of the goodput of another phase.
type PhaseCheck struct {
	Phase string  `yaml:"phase" validate:"required"`
	Class string  `yaml:"class"` // empty: all classes together
	Of    string  `yaml:"of"`    // the other phase; empty: the offered rate
	Share float64 `yaml:"share" validate:"gt=0"`
}

// Action is the kind of a step.
type Action string

// The actions of steps.
const (
	ActionPublish    Action = "publish"     // change labels, windows or required secrets, and publish
	ActionPublishBad Action = "publish-bad" // publish a document with a route to an undeclared service
	ActionSource     Action = "source"      // make the source fail in a mode; empty: healthy
	ActionStale      Action = "stale"       // make the source serve its first revision
	ActionFresh      Action = "fresh"       // end stale
	ActionSecret     Action = "secret"      // set or, without a value, remove a secret at the source
	ActionKill       Action = "kill"        // SIGKILL
	ActionStart      Action = "start"       // restart exited nodes
	ActionFreeze     Action = "freeze"      // SIGSTOP
	ActionThaw       Action = "thaw"        // SIGCONT
	ActionDrain      Action = "drain"       // SIGTERM
	ActionCut        Action = "cut"         // block traffic between a zone and all others, but not from callers
	ActionHeal       Action = "heal"        // end a cut
	ActionLoss       Action = "loss"        // drop a share of datagrams within and between all zones
	ActionFault      Action = "fault"       // inject a fault into workers; empty: healthy
	ActionRate       Action = "rate"        // multiply the rate of a class, or of all
	ActionMeasure    Action = "measure"     // measure a named phase of the load

	ActionWait             Action = "wait"            // wait for the step's duration
	ActionWaitFirst        Action = "wait-first"      // until the newest revision is in force on some node
	ActionWaitInForce      Action = "wait-in-force"   // until it is in force on the selected nodes
	ActionWaitReady        Action = "wait-ready"      // until the selected nodes are ready
	ActionExpectWorkers    Action = "expect-workers"  // all of these workers, and no others, answer a class
	ActionExpectExit       Action = "expect-exit"     // the selected nodes exit with code 0
	ActionExpectNotInForce Action = "expect-held"     // the newest revision comes into force on no node
	ActionExpectNoRuns     Action = "expect-no-runs"  // the workers start no run
	ActionExpectAnswered   Action = "expect-answered" // at least AtLeast attempts of a class are answered
)

// Step is one step of an experiment. The action determines which fields are used.
type Step struct {
	Action   Action                        `yaml:"action" validate:"required"`
	Labels   map[string]declaration.Labels `yaml:"labels"`  // publish: by worker
	Windows  map[string]WindowState        `yaml:"windows"` // publish: by selector
	Secrets  map[string]string             `yaml:"secrets"` // publish: the newly required secret by route
	Nodes    Selection                     `yaml:"nodes"`
	Zone     string                        `yaml:"zone"`     // cut, heal
	Platform bool                          `yaml:"platform"` // cut, heal: from the platform too
	Mode     string                        `yaml:"mode"`     // source, fault
	Secret   string                        `yaml:"secret"`   // secret
	Value    string                        `yaml:"value"`    // secret
	Workers  []string                      `yaml:"workers"`  // fault, expect-workers, expect-no-runs
	Class    string                        `yaml:"class"`    // expect-workers, expect-answered
	Share    float64                       `yaml:"share"`    // loss
	Factor   float64                       `yaml:"factor"`   // rate
	Name     string                        `yaml:"name"`     // measure
	AtLeast  int                           `yaml:"atLeast"`  // expect-answered
	Within   time.Duration                 `yaml:"within"`   // timeout; 0: default
	For      time.Duration                 `yaml:"for"`      // duration of wait, measure and expect steps
}

// WindowState reports whether a selector's window is open now.
type WindowState string

// The states of a window.
const (
	WindowOpen   WindowState = "open"
	WindowClosed WindowState = "closed"
)

// Selection selects the nodes that meet all given conditions; without any
// condition it selects every node.
type Selection struct {
	Names  []string `yaml:"names"`
	Zone   string   `yaml:"zone"`
	Except string   `yaml:"exceptZone"`
	Kind   string   `yaml:"kind" validate:"omitempty,oneof=edge worker reader running ended"`
	Share  float64  `yaml:"share"` // of the nodes that meet the other conditions, 0 to 1, spread over zones; 0: all
	Last   bool     `yaml:"last"`  // the nodes of the previous selection
}

// Read reads and validates an experiment file and the plan that it names.
func Read(path string) (*Spec, *mesh.Plan, error) {
	spec := &Spec{}
	if err := mesh.ReadYAML(path, spec); err != nil {
		return nil, nil, err
	}
	if err := validator.New().Struct(spec); err != nil {
		return nil, nil, fault.Wrap(err, fault.Settings, "correct the named field", "experiment %s", path)
	}
	for index, step := range spec.Steps {
		if _, found := actions[step.Action]; !found {
			return nil, nil, fault.New(fault.Settings, "use one of the actions in lab/experiment", "step %d of %s: unknown action %q", index+1, path, step.Action)
		}
	}
	plan, err := mesh.ReadPlan(filepath.Join(filepath.Dir(path), spec.Mesh))
	return spec, plan, err
}

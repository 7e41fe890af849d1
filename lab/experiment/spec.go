// Package experiment runs an experiment file: a mesh under load, a list of
// steps that change, disturb and expect, an audit at the end, and one verdict.
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

// Spec is an experiment, as a file in experiments/ holds it.
type Spec struct {
	Name  string     `yaml:"name" validate:"required"`
	About string     `yaml:"about"`                    // what the experiment shows
	Mesh  string     `yaml:"mesh" validate:"required"` // plan file, relative to the experiment file
	Scale mesh.Scale `yaml:"scale"`
	// WithoutLinks joins all by loopback alone, without delays: for figures of
	// the nodes' own share of latency.
	WithoutLinks bool         `yaml:"withoutLinks"`
	Load         []load.Class `yaml:"load" validate:"dive"`
	Steps        []Step       `yaml:"steps" validate:"required,dive"`
	Checks       Checks       `yaml:"checks"`
}

// Checks are bounds on the figures; zero means no bound. That answers are
// whole and own, that what was said not to run did not, that keys ran at most
// once and that no node went back to an older version is always checked.
type Checks struct {
	ConvergenceP99MS float64 `yaml:"convergenceP99Ms"`
	Amplification    float64 `yaml:"amplification"` // runs for each run asked for
	// FailedShare bounds the share of attempts that were not answered, by class.
	FailedShare map[string]float64 `yaml:"failedShare"`
	// LatencyP99MS bounds the latency of answered attempts, by class.
	LatencyP99MS map[string]float64 `yaml:"latencyP99Ms"`
	Phases       []PhaseCheck       `yaml:"phases" validate:"dive"`
}

// PhaseCheck bounds the goodput of a measured phase from below: by a share of
// the phase's own offered rate, or of the goodput of another phase.
type PhaseCheck struct {
	Phase string  `yaml:"phase" validate:"required"`
	Class string  `yaml:"class"` // none: all classes together
	Of    string  `yaml:"of"`    // the other phase; none: the offered rate
	Share float64 `yaml:"share" validate:"gt=0"`
}

// Action is what a step does.
type Action string

// The actions of steps.
const (
	ActionPublish    Action = "publish"     // change labels, windows or needed secrets, and publish
	ActionPublishBad Action = "publish-bad" // publish a document whose route names a service that is not declared
	ActionSource     Action = "source"      // let the source fail in a mode; none: healthy
	ActionStale      Action = "stale"       // let the source serve its first revision
	ActionFresh      Action = "fresh"       // end stale
	ActionSecret     Action = "secret"      // set or, without a value, remove a secret at the source
	ActionKill       Action = "kill"        // SIGKILL
	ActionStart      Action = "start"       // start ended nodes again
	ActionFreeze     Action = "freeze"      // SIGSTOP
	ActionThaw       Action = "thaw"        // SIGCONT
	ActionDrain      Action = "drain"       // SIGTERM
	ActionCut        Action = "cut"         // cut a zone off from all others, callers excepted
	ActionHeal       Action = "heal"        // end a cut
	ActionLoss       Action = "loss"        // lose a share of datagrams between all zones
	ActionFault      Action = "fault"       // let workers misbehave; none: healthy
	ActionRate       Action = "rate"        // multiply the rate of a class, or of all
	ActionMeasure    Action = "measure"     // measure a named phase of the load

	ActionWait          Action = "wait"            // let time pass
	ActionWaitFirst     Action = "wait-first"      // until the newest revision is in force on some node
	ActionWaitInForce   Action = "wait-in-force"   // until it is in force on the selected nodes
	ActionWaitReady     Action = "wait-ready"      // until the selected nodes are ready
	ActionExpectWorkers Action = "expect-workers"  // a class is answered, by these workers only
	ActionExpectExit    Action = "expect-exit"     // the selected nodes end by themselves with code 0
	ActionExpectHeld    Action = "expect-held"     // the newest revision comes into force on none of the nodes
	ActionExpectNone    Action = "expect-no-runs"  // the workers begin no run
	ActionExpectLimit   Action = "expect-answered" // a class is answered, at least so many attempts
)

// Step is one step. Which fields count depends on the action.
type Step struct {
	Action   Action                        `yaml:"action" validate:"required"`
	Labels   map[string]declaration.Labels `yaml:"labels"`  // publish: by worker
	Windows  map[string]WindowState        `yaml:"windows"` // publish: by selector
	Secrets  map[string]string             `yaml:"secrets"` // publish: by route, the secret that it needs from now on
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
	Within   time.Duration                 `yaml:"within"`   // bound of waiting
	For      time.Duration                 `yaml:"for"`      // time that passes
}

// WindowState says whether a selector's window is open at the moment.
type WindowState string

// The states of a window.
const (
	WindowOpen   WindowState = "open"
	WindowClosed WindowState = "closed"
)

// Selection names nodes. All conditions given must hold; none given selects
// every node.
type Selection struct {
	Names  []string `yaml:"names"`
	Zone   string   `yaml:"zone"`
	Except string   `yaml:"exceptZone"`
	Kind   string   `yaml:"kind" validate:"omitempty,oneof=edge worker reader running ended"`
	Share  float64  `yaml:"share"` // the first share of the nodes selected otherwise, every second one first
	Last   bool     `yaml:"last"`  // the nodes of the selection before
}

// Read reads an experiment file and the plan that it names.
func Read(path string) (*Spec, *mesh.Plan, error) {
	spec := &Spec{}
	if err := mesh.ReadYAML(path, spec); err != nil {
		return nil, nil, err
	}
	if err := validator.New().Struct(spec); err != nil {
		return nil, nil, fault.Wrap(err, fault.Settings, "correct the named field", "experiment %s", path)
	}
	for index, step := range spec.Steps {
		if _, known := actions[step.Action]; !known {
			return nil, nil, fault.New(fault.Settings, "use one of the actions in lab/experiment", "step %d of %s: unknown action %q", index+1, path, step.Action)
		}
	}
	plan, err := mesh.ReadPlan(filepath.Join(filepath.Dir(path), spec.Mesh))
	return spec, plan, err
}

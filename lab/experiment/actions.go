package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/echo"
	"sliphead/lab/mesh"
	"sliphead/lab/source"
	"sliphead/lab/worker"
)

// action executes a step. It adds a violation if an expectation is not met, and
// returns an error only if the step cannot be executed.
type action func(context.Context, *run, Step) error

var actions map[Action]action

func init() {
	actions = map[Action]action{
		ActionPublish:          publish,
		ActionPublishBad:       publishBad,
		ActionSource:           failSource,
		ActionStale:            func(_ context.Context, r *run, _ Step) error { return r.mesh.Source.PinRevision(1) },
		ActionFresh:            func(_ context.Context, r *run, _ Step) error { r.mesh.Source.UnpinRevision(); return nil },
		ActionSecret:           setSecret,
		ActionKill:             onNodes(func(node *mesh.Node) error { node.Kill(); return nil }),
		ActionStart:            onNodes(startNode),
		ActionFreeze:           onNodes(func(node *mesh.Node) error { node.Freeze(); return nil }),
		ActionThaw:             onNodes(func(node *mesh.Node) error { node.Thaw(); return nil }),
		ActionDrain:            onNodes(func(node *mesh.Node) error { node.Drain(); return nil }),
		ActionCut:              setZoneCut(true),
		ActionHeal:             setZoneCut(false),
		ActionLoss:             setLoss,
		ActionFault:            setFault,
		ActionRate:             setRate,
		ActionMeasure:          measure,
		ActionWait:             wait,
		ActionWaitFirst:        waitFirst,
		ActionWaitInForce:      waitInForce,
		ActionWaitReady:        waitReady,
		ActionExpectWorkers:    expectWorkers,
		ActionExpectExit:       expectExit,
		ActionExpectNotInForce: expectNotInForce,
		ActionExpectNoRuns:     expectNoRuns,
		ActionExpectAnswered:   expectAnswered,
	}
}

func (r *run) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.logger.WithFields(log.Fields{"event": "experiment.violation", "what": text}).Info("")
}

// publish applies the step's changes to a copy of the document and publishes it.
func publish(_ context.Context, r *run, step Step) error {
	next, err := cloneDocument(r.document)
	if err != nil {
		return err
	}
	if err := applyChanges(next, step, time.Now()); err != nil {
		return err
	}
	r.document = next
	r.publishedAt = time.Now()
	r.revision, err = r.mesh.Source.Publish(next)
	r.logger.WithFields(log.Fields{"event": "configuration.published", "revision": r.revision}).Info("")
	return err
}

func cloneDocument(document *declaration.Document) (*declaration.Document, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	clone := &declaration.Document{}
	return clone, json.Unmarshal(data, clone)
}

func applyChanges(document *declaration.Document, step Step, now time.Time) error {
	for name, labels := range step.Labels {
		index := slices.IndexFunc(document.Workers, func(worker declaration.Worker) bool { return worker.Name == name })
		if index < 0 {
			return fault.New(fault.Settings, "name a worker of the plan", "unknown worker %q", name)
		}
		document.Workers[index].Labels = labels
	}
	for name, state := range step.Windows {
		index := slices.IndexFunc(document.Selectors, func(selector declaration.Selector) bool { return selector.Name == name })
		if index < 0 {
			return fault.New(fault.Settings, "name a selector of the plan", "unknown selector %q", name)
		}
		window, err := windowAround(now, document.Zones[0].TimeZone, state)
		if err != nil {
			return err
		}
		document.Selectors[index].Windows = []declaration.Window{window}
	}
	for route, secret := range step.Secrets {
		if err := requireSecret(document, route, secret); err != nil {
			return err
		}
	}
	return nil
}

// requireSecret makes a route require a secret. The value of the secret is its
// name with the suffix "-value".
func requireSecret(document *declaration.Document, route, secret string) error {
	index := slices.IndexFunc(document.Routes, func(each declaration.Route) bool { return each.Name == route })
	if index < 0 {
		return fault.New(fault.Settings, "name a route of the plan", "unknown route %q", route)
	}
	document.Routes[index].Secret = secret
	declared := slices.ContainsFunc(document.Secrets, func(each declaration.Secret) bool { return each.Name == secret })
	if !declared {
		digest := echo.Digest([]byte(secretValue(secret)))
		document.Secrets = append(document.Secrets, declaration.Secret{Name: secret, Digest: digest})
	}
	return nil
}

func secretValue(name string) string { return name + "-value" }

// windowAround returns a window that is open from 2 h before now to 2 h after, or
// one that opens 4 h after now.
func windowAround(now time.Time, timeZone string, state WindowState) (declaration.Window, error) {
	location, err := time.LoadLocation(timeZone)
	if err != nil {
		return declaration.Window{}, fault.Wrap(err, fault.Settings, "use an IANA time zone name", "time zone %q", timeZone)
	}
	const clock = "15:04"
	local := now.In(location)
	from, to := local.Add(-2*time.Hour), local.Add(2*time.Hour)
	if state == WindowClosed {
		from, to = local.Add(4*time.Hour), local.Add(6*time.Hour)
	}
	return declaration.Window{From: from.Format(clock), To: to.Format(clock), TimeZone: timeZone}, nil
}

func publishBad(_ context.Context, r *run, _ Step) error {
	bad, err := cloneDocument(r.document)
	if err != nil {
		return err
	}
	bad.Routes[0].Service = "service-that-is-not-declared"
	r.publishedAt = time.Now()
	r.revision, err = r.mesh.Source.Publish(bad)
	return err
}

func failSource(_ context.Context, r *run, step Step) error {
	mode := source.Mode(step.Mode)
	if !mode.Valid() {
		return fault.New(fault.Settings, "use a mode of lab/source", "unknown mode %q", step.Mode)
	}
	r.mesh.Source.SetMode(mode)
	return nil
}

func setSecret(_ context.Context, r *run, step Step) error {
	r.mesh.Source.SetSecret(step.Secret, step.Value)
	return nil
}

func startNode(node *mesh.Node) error {
	if node.Running() {
		return nil
	}
	return node.Start()
}

// onNodes returns an action that applies effect to each selected node.
func onNodes(effect func(*mesh.Node) error) action {
	return func(_ context.Context, r *run, step Step) error {
		nodes, err := r.selectNodes(step.Nodes)
		if err != nil {
			return err
		}
		for _, node := range nodes {
			if err := effect(node); err != nil {
				return err
			}
		}
		return nil
	}
}

func setZoneCut(cut bool) action {
	return func(_ context.Context, r *run, step Step) error {
		declared := slices.ContainsFunc(r.mesh.Plan.Zones, func(zone declaration.Zone) bool { return zone.Name == step.Zone })
		if !declared {
			return fault.New(fault.Settings, "name a zone of the plan", "unknown zone %q", step.Zone)
		}
		r.mesh.CutZone(step.Zone, step.Platform, cut)
		return nil
	}
}

func setLoss(_ context.Context, r *run, step Step) error {
	zones := r.mesh.Plan.Zones
	for index, zone := range zones {
		for _, other := range zones[index:] {
			r.mesh.Links.SetLoss(zone.Name, other.Name, step.Share)
		}
	}
	return nil
}

func setFault(_ context.Context, r *run, step Step) error {
	for _, each := range r.mesh.Workers {
		if len(step.Workers) > 0 && !slices.Contains(step.Workers, each.Name) {
			continue
		}
		if err := each.SetFault(worker.Fault(step.Mode)); err != nil {
			return err
		}
	}
	return nil
}

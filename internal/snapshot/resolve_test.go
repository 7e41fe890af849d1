package snapshot

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// init sets the seed of the property tests.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const overlap = 10 * time.Second

// scheduled returns a document with a worker for the day and one for the night.
func scheduled(t testing.TB) *declaration.Document {
	worker := func(name, shift string) declaration.Worker {
		return declaration.Worker{Name: name, Service: "storefront", Zone: "edappally", Slots: 6, Connections: 130, Labels: declaration.Labels{"shift": shift}}
	}
	route := func(name, prefix, host string, selectors ...string) declaration.Route {
		return declaration.Route{Name: name, PathPrefix: prefix, Host: host, Service: "storefront", Selectors: selectors, Priority: declaration.PriorityInteractive, DeadlineMS: 1}
	}
	document := &declaration.Document{
		Zones:    []declaration.Zone{{Name: "edappally", Region: "kochi", TimeZone: "Asia/Kolkata"}},
		Services: []declaration.Service{{Name: "prepress"}, {Name: "storefront"}},
		Workers:  []declaration.Worker{worker("night-1", "night"), worker("day-1", "day")},
		Selectors: []declaration.Selector{
			{Name: "day", Service: "storefront", WorkerLabels: declaration.Labels{"shift": "day"}, Windows: []declaration.Window{{From: "09:00", To: "21:00"}}},
			{Name: "night", Service: "storefront", WorkerLabels: declaration.Labels{"shift": "night"}, Windows: []declaration.Window{{From: "21:00", To: "09:00"}}},
			{Name: "all", Service: "storefront"},
		},
		Routes: []declaration.Route{
			route("any", "/", "", "all"), route("day", "/orders", "", "day"), route("shop", "/orders", "shop.example", "day", "night"),
		},
		Secrets: []declaration.Secret{{Name: "till", Digest: secretDigest("till-value")}},
	}
	document.Routes[1].Secret = "till"
	must.SliceEmpty(t, declaration.Validate(document))
	return document
}

func compiledOf(t testing.TB, document *declaration.Document) *Compiled {
	set, err := Build(document, 1, map[string]string{"till": "till-value"})
	must.NoError(t, err)
	compiled, err := Compile(set)
	must.NoError(t, err)
	return compiled
}

func at(t testing.TB, clock string) time.Time {
	moment, err := time.Parse(time.RFC3339, "2026-12-02T"+clock+"+05:30")
	must.NoError(t, err)
	return moment
}

func liveEndpoints(workers ...string) []Endpoint {
	var endpoints []Endpoint
	for index, worker := range workers {
		endpoints = append(endpoints, Endpoint{Worker: worker, Node: fmt.Sprintf("node-%d", index), Address: fmt.Sprintf("127.0.0.1:%d", 9000+index)})
	}
	return endpoints
}

func workersOf(route *Route) []string {
	names := []string{}
	for _, endpoint := range route.Endpoints {
		names = append(names, endpoint.Worker)
	}
	return names
}

func TestResolveFollowsSelectors(t *testing.T) {
	compiled := compiledOf(t, scheduled(t))
	input := ResolveInput{At: at(t, "12:00:00"), Endpoints: liveEndpoints("stranger", "night-1", "day-1", "day-1")}
	view := compiled.Resolve(input)
	must.Eq(t, []string{"shop", "day", "any"}, []string{view.Routes[0].Name, view.Routes[1].Name, view.Routes[2].Name})
	must.Eq(t, []string{"day-1", "day-1"}, workersOf(view.Route("day")))
	must.Eq(t, []string{"day-1", "day-1", "night-1"}, workersOf(view.Route("any")))
	must.Eq(t, Endpoint{Worker: "day-1", Node: "node-2", Address: "127.0.0.1:9002", Slots: 6, Connections: 130}, view.Route("day").Endpoints[0])
	must.Eq(t, "till-value", view.Route("day").Credential)
	must.Zero(t, input.Endpoints[1].Slots) // the caller's slice must not be changed

	input.At = at(t, "21:00:00")
	view = compiled.Resolve(input)
	must.SliceEmpty(t, view.Route("day").Endpoints)
	must.Eq(t, []string{"night-1"}, workersOf(view.Route("shop")))
}

func TestLocalWorkerIsAllowedDuringOverlap(t *testing.T) {
	compiled := compiledOf(t, scheduled(t))
	cases := map[string]bool{
		"08:59:49": false, "08:59:50": true, "09:00:00": true, "20:59:59": true, "21:00:09": true, "21:00:10": false,
	}
	for clock, allowed := range cases {
		view := compiled.Resolve(ResolveInput{At: at(t, clock), Overlap: overlap, LocalWorker: "day-1", Endpoints: liveEndpoints("day-1")})
		must.Eq(t, allowed, view.Route("day").LocalAllowed, must.Sprint(clock))
		must.True(t, view.Route("any").LocalAllowed)
	}
	edge := compiled.Resolve(ResolveInput{At: at(t, "12:00:00"), Overlap: overlap})
	must.False(t, edge.Route("any").LocalAllowed)
}

func TestNextBoundaryAndNextResolve(t *testing.T) {
	compiled := compiledOf(t, scheduled(t))
	must.Eq(t, at(t, "21:00:00").UTC(), compiled.NextBoundary(at(t, "09:00:00")))
	var moments []string
	for moment := at(t, "12:00:00"); len(moments) < 4; {
		moment = compiled.NextResolve(moment, overlap)
		moments = append(moments, moment.In(at(t, "12:00:00").Location()).Format("02 15:04:05"))
	}
	must.Eq(t, []string{"02 20:59:50", "02 21:00:00", "02 21:00:10", "03 08:59:50"}, moments)

	document := scheduled(t)
	for index := range document.Selectors {
		document.Selectors[index].Windows = nil
	}
	must.True(t, compiledOf(t, document).NextResolve(at(t, "12:00:00"), overlap).IsZero())
}

// While the secret of one route is missing, no route of that version may be resolved.
func TestResolveFailsWithoutSecret(t *testing.T) {
	set, err := Build(scheduled(t), 1, map[string]string{"till": "old-value"})
	must.NoError(t, err)
	view, err := Resolve(set, ResolveInput{At: at(t, "12:00:00")})
	must.Nil(t, view)
	must.ErrorContains(t, err, "lacks 1 resources, first")
	must.ErrorContains(t, err, "till")
	must.Eq(t, fault.Unready, fault.KindOf(err))

	set = set.WithBodies([]Resource{SecretResource("till", "till-value")})
	view, err = Resolve(set, ResolveInput{At: at(t, "12:00:00")})
	must.NoError(t, err)
	must.Eq(t, "till-value", view.Route("day").Credential)
}

// Compile must reject a set with a reference to an undeclared item. Such sets do not pass
// validation.
func TestCompileRejectsUnknownReferences(t *testing.T) {
	removals := map[string]func(*declaration.Document){
		`service`:  func(d *declaration.Document) { d.Services = d.Services[:1] },
		`secret`:   func(d *declaration.Document) { d.Secrets = nil },
		`selector`: func(d *declaration.Document) { d.Selectors = d.Selectors[:2] },
	}
	for kind, remove := range removals {
		document := scheduled(t)
		remove(document)
		set, err := Build(document, 1, map[string]string{"till": "till-value"})
		must.NoError(t, err)
		compiled, err := Compile(set)
		must.Nil(t, compiled)
		must.ErrorContains(t, err, "needs "+kind)
		must.ErrorContains(t, err, "remedy: ")
	}
}

// Resolve must select the same workers as declaration.Evaluator, for random labels, windows and
// times.
func TestResolveMatchesEvaluator(t *testing.T) {
	shifts := rapid.SampledFrom([]string{"day", "night", "always"})
	hours := rapid.IntRange(0, 23)
	rapid.Check(t, func(check *rapid.T) {
		document := scheduled(t)
		document.Zones = append(document.Zones, declaration.Zone{Name: "petaling", Region: "klang-valley", TimeZone: "Asia/Kuala_Lumpur", Labels: declaration.Labels{"site": "far"}})
		var names []string
		for index := range 6 {
			worker := document.Workers[0]
			worker.Name = fmt.Sprintf("drawn-%d", index)
			worker.Labels = declaration.Labels{"shift": shifts.Draw(check, "shift")}
			worker.Zone = rapid.SampledFrom(document.Zones).Draw(check, "zone").Name
			document.Workers = append(document.Workers, worker)
			names = append(names, worker.Name)
		}
		for index := range document.Selectors {
			selector := &document.Selectors[index]
			selector.WorkerLabels = declaration.Labels{"shift": shifts.Draw(check, "wanted")}
			if rapid.Bool().Draw(check, "far only") {
				selector.ZoneLabels = declaration.Labels{"site": "far"}
			}
			from := hours.Draw(check, "from")
			to := (from + rapid.IntRange(1, 23).Draw(check, "length")) % 24
			selector.Windows = []declaration.Window{{From: fmt.Sprintf("%02d:00", from), To: fmt.Sprintf("%02d:00", to)}}
		}
		moment := at(t, fmt.Sprintf("%02d:00:00", hours.Draw(check, "hour")))
		view := compiledOf(t, document).Resolve(ResolveInput{At: moment, Endpoints: liveEndpoints(append(names, "day-1", "night-1")...)})
		evaluator := declaration.NewEvaluator(document)
		for _, route := range document.Routes {
			must.SliceEqOp(t, evaluator.Workers(route, moment), workersOf(view.Route(route.Name)))
		}
	})
}

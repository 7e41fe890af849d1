package snapshot

import (
	"fmt"
	"net/url"
	"testing"
	"time"

	"sliphead/internal/declaration"
)

// The size for which the system is designed.
const (
	targetWorkers  = 850
	targetServices = 29
	targetRoutes   = 100
	targetZones    = 5
)

// targetSize returns declarations and live endpoints of the target size. Each service has
// workers for the day, for the night and for all hours.
func targetSize(b *testing.B) (*Compiled, ResolveInput) {
	document := &declaration.Document{}
	for index := range targetZones {
		document.Zones = append(document.Zones, declaration.Zone{Name: fmt.Sprintf("zone-%d", index), Region: "kochi", TimeZone: "Asia/Kolkata"})
	}
	for index := range targetServices {
		addService(document, fmt.Sprintf("service-%d", index))
	}
	var names []string
	for index := range targetWorkers {
		worker := declaration.Worker{
			Name: fmt.Sprintf("worker-%d", index), Service: fmt.Sprintf("service-%d", index%targetServices),
			Zone: fmt.Sprintf("zone-%d", index%targetZones), Slots: 6, Connections: 130,
			Labels: declaration.Labels{"shift": []string{"day", "night", "always"}[index%3]},
		}
		document.Workers = append(document.Workers, worker)
		names = append(names, worker.Name)
	}
	for index := range targetRoutes {
		service := fmt.Sprintf("service-%d", index%targetServices)
		document.Routes = append(document.Routes, declaration.Route{
			Name: fmt.Sprintf("route-%d", index), PathPrefix: fmt.Sprintf("/path-%d", index), Service: service,
			Selectors: []string{service + "-day", service + "-night", service + "-always"}, Priority: declaration.PriorityInteractive, DeadlineMS: 1,
		})
	}
	if findings := declaration.Validate(document); findings != nil {
		b.Fatal(findings)
	}
	return compiledOf(b, document), ResolveInput{
		At: time.Unix(1_800_000_000, 0), Overlap: overlap, LocalWorker: "worker-0", Endpoints: liveEndpoints(names...),
	}
}

func addService(document *declaration.Document, name string) {
	document.Services = append(document.Services, declaration.Service{Name: name})
	windows := map[string][]declaration.Window{"day": {{From: "09:00", To: "21:00"}}, "night": {{From: "21:00", To: "09:00"}}, "always": nil}
	for shift, window := range windows {
		document.Selectors = append(document.Selectors, declaration.Selector{
			Name: name + "-" + shift, Service: name, WorkerLabels: declaration.Labels{"shift": shift}, Windows: window,
		})
	}
}

func BenchmarkResolve(b *testing.B) {
	compiled, input := targetSize(b)
	b.ReportAllocs()
	for b.Loop() {
		compiled.Resolve(input)
	}
}

func BenchmarkCompile(b *testing.B) {
	compiled, _ := targetSize(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(compiled.set); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNextResolve(b *testing.B) {
	compiled, input := targetSize(b)
	for b.Loop() {
		compiled.NextResolve(input.At, overlap)
	}
}

func BenchmarkMatchLastRoute(b *testing.B) {
	compiled, input := targetSize(b)
	view := compiled.Resolve(input)
	last := view.Routes[len(view.Routes)-1].PathPrefix + "/7"
	b.ReportAllocs()
	for b.Loop() {
		view.Match("shop.example:8080", &url.URL{Path: last}, "GET")
	}
}

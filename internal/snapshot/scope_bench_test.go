package snapshot

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"sliphead/internal/declaration"
)

// scopeOf keeps what nodes of a service need that call some other services: the
// zones, and the services' workers, selectors and routes.
func scopeOf(document *declaration.Document, services int) *declaration.Document {
	kept := &declaration.Document{Zones: document.Zones}
	wanted := map[string]bool{}
	for index := range services {
		wanted[fmt.Sprintf("service-%d", index)] = true
	}
	for _, service := range document.Services {
		if wanted[service.Name] {
			kept.Services = append(kept.Services, service)
		}
	}
	for _, worker := range document.Workers {
		if wanted[worker.Service] {
			kept.Workers = append(kept.Workers, worker)
		}
	}
	for _, selector := range document.Selectors {
		if wanted[selector.Service] {
			kept.Selectors = append(kept.Selectors, selector)
		}
	}
	for _, route := range document.Routes {
		if wanted[route.Service] {
			kept.Routes = append(kept.Routes, route)
		}
	}
	return kept
}

// BenchmarkScope weighs a whole set against scopes of some services, at the
// target's size: bytes of one transfer, deflated, and heap of one set held.
func BenchmarkScope(b *testing.B) {
	compiled, _ := targetSize(b)
	for _, services := range []int{2, 6, targetServices} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			document := scopeOf(compiled.set.Document(), services)
			var set *Set
			var before, after runtime.MemStats
			for b.Loop() {
				set = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				set, _ = Build(document, 1, nil)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			whole, _ := json.Marshal(Diff(Empty(), set))
			var packed bytes.Buffer
			writer, _ := flate.NewWriter(&packed, flate.DefaultCompression)
			_, _ = writer.Write(whole)
			_ = writer.Close()
			b.ReportMetric(float64(len(whole)), "json-bytes")
			b.ReportMetric(float64(packed.Len()), "deflated-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

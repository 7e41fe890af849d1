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

// scopeOf returns the part of a document that a node needs which calls only some services: the
// zones, and the workers, selectors and routes of these services.
func scopeOf(document *declaration.Document, services int) *declaration.Document {
	scope := &declaration.Document{Zones: document.Zones}
	wanted := map[string]bool{}
	for index := range services {
		wanted[fmt.Sprintf("service-%d", index)] = true
	}
	for _, service := range document.Services {
		if wanted[service.Name] {
			scope.Services = append(scope.Services, service)
		}
	}
	for _, worker := range document.Workers {
		if wanted[worker.Service] {
			scope.Workers = append(scope.Workers, worker)
		}
	}
	for _, selector := range document.Selectors {
		if wanted[selector.Service] {
			scope.Selectors = append(scope.Selectors, selector)
		}
	}
	for _, route := range document.Routes {
		if wanted[route.Service] {
			scope.Routes = append(scope.Routes, route)
		}
	}
	return scope
}

// BenchmarkScope compares a whole set with sets for some services, at the target size: the
// bytes of one transfer, plain and deflated, and the heap used by one set.
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

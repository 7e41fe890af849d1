package snapshot

import (
	"fmt"
	"testing"
	"time"

	"sliphead/internal/catalog"
)

// BenchmarkFromCatalog measures FromCatalog with 95 nodes and 1700 routes, after a change of
// the configuration and after a change of one worker's record.
func BenchmarkFromCatalog(b *testing.B) {
	state := catalog.NewState()
	configuration := &catalog.Configuration{Version: 1, Services: map[string]catalog.Service{"shop": {}}}
	for route := range 1700 {
		configuration.Routes = append(configuration.Routes, catalog.Route{
			Name: fmt.Sprintf("r-%d", route), Host: fmt.Sprintf("host%d.example", route%40), PathPrefix: fmt.Sprintf("/p%d/", route),
			Targets: []catalog.WeightedTarget{{Service: "shop", Weight: 1}}, Timeout: time.Second, Target: 400 * time.Millisecond,
		})
	}
	batch := catalog.Batch{Snapshot: true, To: 200, Changes: []catalog.Change{{Revision: 1, Configuration: configuration}}}
	for worker := range 95 {
		batch.Changes = append(batch.Changes, catalog.Change{Revision: uint64(worker + 2), Instance: &catalog.Instance{
			ID: fmt.Sprintf("i-%d", worker), Service: "shop", Zone: fmt.Sprintf("z%d", worker%6), Address: fmt.Sprintf("10.0.0.%d:80", worker), Capacity: 4,
		}})
	}
	state.Apply(batch)
	input := CatalogInput{At: time.Now(), WorkerAddress: "10.0.0.1:80", InboundPort: "81"}
	for name, before := range map[string]*View{"configuration": nil, "instance": FromCatalog(state, input)} {
		input.Previous = before
		b.Run("changed="+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				FromCatalog(state, input)
			}
		})
	}
}

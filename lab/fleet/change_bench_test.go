package fleet

import (
	"testing"
	"time"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
)

// BenchmarkChange measures the steps that a node takes for one change at the
// target's size.
func BenchmarkChange(b *testing.B) {
	layout := &plan{nodes: 850, services: 29}
	before, _ := snapshot.Build(layout.document(0), 1, nil)
	after, _ := snapshot.Build(layout.document(1), 2, nil)
	delta := snapshot.Diff(before, after)
	document := after.Document()
	compiled, err := snapshot.Compile(after)
	if err != nil {
		b.Fatal(err)
	}
	steps := map[string]func(){
		"apply":             func() { _, _ = before.Apply(delta) },
		"document":          func() { after.Document() },
		"validate-document": func() { declaration.Validate(document) },
		"validate-set":      func() { after.Validate() },
		"compile":           func() { _, _ = snapshot.Compile(after) },
		"resolve":           func() { compiled.Resolve(snapshot.ResolveInput{At: time.Unix(0, 0)}) },
	}
	for name, step := range steps {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				step()
			}
		})
	}
}

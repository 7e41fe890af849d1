package report

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/lab/experiment"
	"sliphead/lab/load"
)

func TestWrittenReportCanBeReadAndDrawn(t *testing.T) {
	begin := time.Unix(1000, 0)
	outcome := &experiment.Outcome{Name: "x", Violations: []string{"v"}}
	for number := range 100 {
		outcome.Samples = append(outcome.Samples, experiment.Sample{Mesh: "m", Node: "n", Convergence: time.Duration(number) * time.Millisecond})
		start := begin.Add(time.Duration(number) * 50 * time.Millisecond)
		outcome.Attempts = append(outcome.Attempts, load.Attempt{Class: "c", Start: start, Latency: time.Duration(number) * time.Millisecond, Ending: load.Endings[number%2]})
	}
	directory := t.TempDir()
	must.NoError(t, Write(directory, outcome))
	lines, err := Read(directory)
	must.NoError(t, err)
	must.SliceLen(t, 202, lines)
	must.Eq(t, "fail", lines[0].Result["verdict"])

	written, err := Draw(directory, "svg")
	must.NoError(t, err)
	must.SliceLen(t, 3, written)
	for _, path := range written {
		data, err := os.ReadFile(path)
		must.NoError(t, err)
		must.StrContains(t, string(data), "<svg")
	}
	must.Eq(t, filepath.Join(directory, "convergence.svg"), written[0])
}

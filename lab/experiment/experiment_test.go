package experiment

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"sliphead/lab/event"
	"sliphead/lab/load"
	"sliphead/lab/mesh"
)

// runDemo runs the first steps of demo-chandrika.yaml on fake nodes with a fault, "" for none.
func runDemo(t *testing.T, fault string, steps int) *Outcome {
	t.Helper()
	t.Setenv(fakeFault, fault)
	spec, plan, err := Read("../../experiments/demo-chandrika.yaml")
	must.NoError(t, err)
	spec.Scale.Edges = 2
	spec.Steps = spec.Steps[:steps]
	for index := range spec.Steps {
		spec.Steps[index].For = 200 * time.Millisecond
		if fault != "" { // a step's condition may never be met
			spec.Steps[index].Within = time.Second
		}
	}
	spec.Checks = Checks{}
	self, err := os.Executable()
	must.NoError(t, err)
	options := Options{
		Mesh:   mesh.Options{NodeBinary: self, LabBinary: self, Directory: t.TempDir(), Scale: spec.Scale},
		Logger: &log.Logger{Handler: event.NewHandler(io.Discard), Level: log.InfoLevel},
	}
	result, err := Run(context.Background(), spec, plan, options)
	must.NoError(t, err)
	return result
}

func TestDemoPassesWhenRequestsFollowTheVersions(t *testing.T) {
	result := runDemo(t, "", 9)
	must.Eq(t, []string(nil), result.Violations)
	must.Eq(t, VerdictPass, result.Verdict())
	must.SliceLen(t, 3*result.Nodes, result.Samples)
	must.Eq(t, 0, result.count(load.EndingWrong))
}

func TestDemoFailsWhenNodesMisbehave(t *testing.T) {
	for fault, violation := range map[string]string{
		faultOlderVersion:   "went from version",
		faultIgnoresUpdates: "which is not selected",
		faultRunsTwice:      "ran 2 times",
		faultReportsNotRun:  "reported as not run, but a worker ran it",
	} {
		t.Run(fault, func(t *testing.T) {
			result := runDemo(t, fault, 6)
			must.Eq(t, VerdictFail, result.Verdict())
			must.StrContains(t, strings.Join(result.Violations, "\n"), violation)
		})
	}
}

func TestEveryExperimentFileIsValid(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, path := range files {
		data, err := os.ReadFile(path)
		must.NoError(t, err)
		if !strings.Contains(string(data), "\nsteps:") {
			_, err = mesh.ReadPlan(path)
		} else {
			_, _, err = Read(path)
		}
		must.NoError(t, err, must.Sprint(path))
	}
}

package build

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
)

func TestRecordedRevisionIsTold(t *testing.T) {
	info := Info{Version: unknown, Revision: unknown, Modified: unknown}
	info.read(&debug.BuildInfo{
		GoVersion: "go1.26.8",
		Main:      debug.Module{Version: "v1.2.3"},
		Settings:  []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "1b4a6f9"}, {Key: "vcs.modified", Value: "true"}},
	})
	must.Eq(t, Info{Version: "v1.2.3", Revision: "1b4a6f9", Modified: "true", GoVersion: "go1.26.8"}, info)
}

func TestBuildWithoutVersionControlSaysSo(t *testing.T) {
	info := Info{Version: unknown, Revision: unknown, Modified: unknown}
	info.read(&debug.BuildInfo{GoVersion: "go1.26.8", Main: debug.Module{Version: "(devel)"}})
	must.Eq(t, Info{Version: "(devel)", Revision: unknown, Modified: unknown, GoVersion: "go1.26.8"}, info)
}

// Without a recorded revision only the build ID tells an old executable from a new one.
func TestBuildIDDiffersBetweenSources(t *testing.T) {
	directory := t.TempDir()
	first := builtID(t, directory, "1")
	second := builtID(t, directory, "2")
	must.NotEq(t, unknown, first)
	must.NotEq(t, first, second)
	must.Eq(t, first, builtID(t, directory, "1"))
}

// builtID builds a program that prints a text, and returns the build ID of the executable.
func builtID(t *testing.T, directory, text string) string {
	t.Helper()
	source, executable := filepath.Join(directory, "main.go"), filepath.Join(directory, "program")
	must.NoError(t, os.WriteFile(source, []byte("package main\n\nfunc main() { println("+text+") }\n"), 0o600))
	output, err := exec.Command("go", "build", "-o", executable, source).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	file, err := elf.Open(executable)
	must.NoError(t, err)
	defer func() { must.NoError(t, file.Close()) }()
	return idOf(file)
}

func TestRunningProgramHasABuildID(t *testing.T) {
	must.NotEq(t, unknown, Read().ID)
}

func TestMetricCarriesTheBuild(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(Info{Version: "v1.2.3", Revision: "1b4a6f9", Modified: "false", GoVersion: "go1.26.8", ID: "a/b"}.Metric())
	families, err := registry.Gather()
	must.NoError(t, err)
	must.Len(t, 1, families)
	must.Eq(t, "sliphead_build_info", families[0].GetName())
	labels := map[string]string{}
	for _, label := range families[0].GetMetric()[0].GetLabel() {
		labels[label.GetName()] = label.GetValue()
	}
	must.Eq(t, map[string]string{"version": "v1.2.3", "revision": "1b4a6f9", "modified": "false", "goversion": "go1.26.8", "build": "a/b"}, labels)
	must.Eq(t, 1, families[0].GetMetric()[0].GetGauge().GetValue())
}

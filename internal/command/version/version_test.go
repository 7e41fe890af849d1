package version

import (
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestVersionNamesEachProperty(t *testing.T) {
	var output strings.Builder
	must.NoError(t, (&Command{}).Run(&output))
	names := []string{}
	for line := range strings.Lines(output.String()) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		names = append(names, name)
		must.NotEq(t, "", value, must.Sprint(line))
	}
	must.Eq(t, []string{"version", "revision", "modified", "go", "build"}, names)
	must.StrContains(t, output.String(), "go: "+runtime.Version())
}

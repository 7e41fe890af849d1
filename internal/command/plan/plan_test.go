package plan

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const mesh = "../../../experiments/declarations/chandrika"

// editedMesh returns the directory of a copy of the mesh with replacements in one file.
func editedMesh(t *testing.T, file string, replacements ...string) string {
	t.Helper()
	directory := t.TempDir()
	must.NoError(t, os.CopyFS(directory, os.DirFS(mesh)))
	path := filepath.Join(directory, file)
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	text := strings.NewReplacer(replacements...).Replace(string(data))
	must.NotEq(t, string(data), text)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return directory
}

func runPlan(t *testing.T, to string) string {
	t.Helper()
	kochi := time.FixedZone("", 19_800)
	command := Command{From: mesh, To: to, At: time.Date(2026, 12, 5, 18, 30, 0, 0, kochi)} // a Saturday
	var output strings.Builder
	must.NoError(t, command.Run(&output))
	return output.String()
}

func TestPlanWithoutChanges(t *testing.T) {
	must.Eq(t, "no route gains or loses a worker until 2026-12-12T18:30:00+05:30\n", runPlan(t, mesh))
}

func TestPlanShowsGainsAndLossesAtBoundaries(t *testing.T) {
	to := editedMesh(t, "selectors.yaml", "days: [sun]\n        from: \"10:00\"", "days: [sun]\n        from: \"11:00\"")
	must.Eq(t, `2026-12-06T10:00:00+05:30
  catalogue,orders: -storefront-2,storefront-3,storefront-5,storefront-7
2026-12-06T11:00:00+05:30
  catalogue,orders: as before the change
`, runPlan(t, to))
}

func TestPlanShowsChangedRoutes(t *testing.T) {
	to := editedMesh(t, "routes.yaml", "repeatable: false", "repeatable: true", "name: reports", "name: stock-reports",
		"selectors: [prepress-always, prepress-night]", "selectors: [prepress-always]")
	must.StrHasPrefix(t, `route orders: repeatable false becomes true
route reports: dropped
route stock-reports: new
2026-12-05T18:30:00+05:30
  reports: -prepress-1,prepress-5
  stock-reports: +prepress-1,prepress-5
2026-12-05T20:00:00+05:30
  reports: -prepress-1,prepress-4,prepress-5
2026-12-06T08:30:00+05:30
  reports: -prepress-1,prepress-5
2026-12-06T20:00:00+05:30
  reports: -prepress-1,prepress-4,prepress-5
2026-12-07T08:30:00+05:30
`, runPlan(t, to))
}

func TestPlanRejectsInvalidDeclarations(t *testing.T) {
	command := Command{From: mesh, To: editedMesh(t, "zones.yaml", "Asia/Kolkata", "IST")}
	must.ErrorContains(t, command.Run(&strings.Builder{}), "remedy: run sliphead check")
}

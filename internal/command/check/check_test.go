package check

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestValidDeclarationsPrintSummary(t *testing.T) {
	var output strings.Builder
	must.NoError(t, (&Command{Directory: "../../../experiments/declarations/chandrika"}).Run(&output))
	must.StrContains(t, output.String(), "valid: 4 zones, 2 services, 12 workers, 6 selectors, 5 routes, 2 secrets\n")
}

func TestFindingsArePrintedAndFail(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "zones.yaml")
	must.NoError(t, os.WriteFile(path, []byte("services:\n- name: a\nzones:\n- {name: b, region: c, timeZone: IST}\n"), 0o600))
	var output strings.Builder
	err := (&Command{Directory: directory}).Run(&output)
	must.Eq(t, path+`:4: zone "b": timeZone "IST" is not valid (remedy: use an IANA name such as Asia/Kolkata)`+"\n", output.String())
	must.ErrorContains(t, err, "remedy: fix each finding")
}

package refusals

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const logLines = `time=2026-12-02T10:00:00.100Z level=info event=request.refused cause=refused held_ms=5 offers=6 retry_after_ms=20 route=read side=outbound
time=2026-12-02T10:00:00.200Z level=info event=request.refused cause=refused held_ms=9 offers=10 retry_after_ms=400 returned=true route=read side=outbound
time=2026-12-02T10:00:00.300Z level=info event=request.refused cause=refused held_ms=7 offers=8 retry_after_ms=60 route=read side=outbound
time=2026-12-02T10:00:00.300Z level=info event=request.refused cause=draining route=read side=inbound
time=2026-12-02T10:00:00.400Z level=info event=request.rejected cause=route side=outbound
time=2026-12-02T10:00:01.000Z level=info event=request.refused cause=lease held_ms=0 retry_after_ms=200 side=outbound
time=unknown level=info event=request.refused cause=lease side=outbound
`

func TestRefusalsAreCountedPerSpanRouteAndCause(t *testing.T) {
	name := filepath.Join(t.TempDir(), "node.log")
	must.NoError(t, os.WriteFile(name, []byte(logLines), 0o600))
	var output bytes.Buffer
	must.NoError(t, (&Command{Every: time.Second, Files: []string{name}}).Run(&output))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	must.Len(t, 4, lines)
	must.Eq(t, []string{"10:00:00.000", "read", "refused", "3", "1", "8", "60", "7"}, strings.Fields(lines[1]))
	must.Eq(t, []string{"10:00:01.000", "-", "lease", "1", "0", "-", "200", "0"}, strings.Fields(lines[2]))
	must.StrContains(t, lines[3], "can't be read: 1")
}

func TestTooShortSpanIsRejected(t *testing.T) {
	must.ErrorContains(t, (&Command{Every: time.Millisecond}).Run(&bytes.Buffer{}), "--every")
}

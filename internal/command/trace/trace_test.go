package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"sliphead/internal/logging"
)

func TestTraceMergesLogsOfSeveralNodes(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	caller := write("caller.log", "time=2026-01-01T00:00:02.000Z level=warn event=request.unknown request=r-1 status=502\n"+
		"time=2026-01-01T00:00:00.500Z level=info event=request.retried request=r-1 cause=silent\n"+
		"time=2026-01-01T00:00:00.600Z level=info event=request.refused request=r-11\n")
	worker := write("worker.log", "time=2026-01-01T00:00:01.000Z level=warn event=request.unknown request=r-1 cause=broken\n")
	var output bytes.Buffer
	must.NoError(t, (&Command{ID: "r-1", Files: []string{caller, worker}}).Run(&output))
	must.Eq(t, caller+": time=2026-01-01T00:00:00.500Z level=info event=request.retried request=r-1 cause=silent\n"+
		worker+": time=2026-01-01T00:00:01.000Z level=warn event=request.unknown request=r-1 cause=broken\n"+
		caller+": time=2026-01-01T00:00:02.000Z level=warn event=request.unknown request=r-1 status=502\n", output.String())
	must.ErrorContains(t, (&Command{ID: "r-2", Files: []string{caller}}).Run(&output), "no log line contains request")
}

// Ids with an equals sign or quotes stand in quotes in the log.
func TestTraceFindsQuotedID(t *testing.T) {
	for _, id := range []string{"order/17:a=b", `{"till":3}`, "'a'"} {
		path := filepath.Join(t.TempDir(), "node.log")
		file, err := os.Create(path)
		must.NoError(t, err)
		logging.Event(logging.New(file, log.InfoLevel), "request.retried", logging.Fields{"request": id})
		must.NoError(t, file.Close())
		var output bytes.Buffer
		must.NoError(t, (&Command{ID: id, Files: []string{path}}).Run(&output), must.Sprint(id))
		must.StrContains(t, output.String(), "event=request.retried")
	}
}

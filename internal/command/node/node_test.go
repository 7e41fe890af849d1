package node

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
)

// A reload must log whether the settings file is valid.
func TestReloadChecksTheSettings(t *testing.T) {
	const validSettings = `name: n1
zone: z1
region: r1
listen: {peer: '127.0.0.1:7000', outbound: '127.0.0.1:7080', admin: '127.0.0.1:7090'}
source: {configuration: 'http://127.0.0.1:9000'}
security: {plain: true}
`
	path := filepath.Join(t.TempDir(), "settings.yaml")
	for text, event := range map[string]string{validSettings: "settings.checked", validSettings + "unknown: 1\n": "settings.refused", "": "settings.refused"} {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		events := memory.New()
		(&Command{Settings: path}).reload(&log.Logger{Handler: events, Level: log.InfoLevel})
		must.Len(t, 1, events.Entries)
		must.Eq(t, event, events.Entries[0].Message)
	}
}

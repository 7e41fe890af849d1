package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
)

const edge = `name: edge-1
zone: edappally
region: kochi
listen: {peer: "127.0.0.1:7000", outbound: "127.0.0.1:7002", admin: "127.0.0.1:7003"}
source: {configuration: "http://127.0.0.1:9000"}
security: {plain: true}
`

const workerNode = `name: edappally-storefront-1
zone: edappally
region: kochi
service: storefront
profile: bytes
worker: {name: storefront-1, address: "127.1.0.5:8000", healthPath: /health, healthInterval: 2s}
listen: {peer: "127.0.0.1:7000", inbound: "127.0.0.1:7001", outbound: "127.0.0.1:7002", admin: "127.0.0.1:7003"}
advertise: {peer: "127.0.0.2:7000"}
source: {configuration: "http://127.0.0.1:9000", machines: "http://127.0.0.1:9001", readers: 16, longPoll: 20s, machinesInterval: 10s}
seeds: ["127.0.0.3:7000"]
security: {certificateFile: a, keyFile: b, authorityFile: c, datagramKeyFile: d}
distribution: {holders: 3, fanout: 8, readersPerZone: 2, lease: 2s, scheduleOverlap: 10s}
membership: {probeInterval: 1s}
claims: {keyLife: 10m, groupSize: 5, since: 2026-12-02T08:00:00Z, copyOnly: true}
limits: {maxHeaderBytes: 65536, headerTimeout: 5s}
drain: {timeout: 10m}
`

func TestParseSetsDefaults(t *testing.T) {
	parsed, err := Parse("node.yaml", []byte(workerNode))
	must.NoError(t, err)
	must.Eq(t, "127.0.0.2:7000", parsed.Advertise.Peer)
	must.Eq(t, "127.0.0.1:7001", parsed.Advertise.Inbound)
	must.Eq(t, 500*time.Millisecond, parsed.Membership.GossipInterval.Duration)
	must.True(t, parsed.Claims.CopyOnly)
	must.Eq(t, 2*time.Second, parsed.Worker.HealthInterval.Duration)
	must.Eq(t, Default().Limits.IdleTimeout, parsed.Limits.IdleTimeout)

	parsed, err = Parse("edge.yaml", []byte(edge), func(s *Settings) { s.Zone = "vyttila" })
	must.NoError(t, err)
	must.Eq(t, "vyttila", parsed.Zone)
	must.Nil(t, parsed.Worker)
	must.Eq(t, 50*time.Millisecond, parsed.Membership.GossipInterval.Duration)
}

func TestPrintedSettingsRoundTrip(t *testing.T) {
	for _, text := range []string{edge, workerNode} {
		parsed, err := Parse("node.yaml", []byte(text))
		must.NoError(t, err)
		var printed bytes.Buffer
		must.NoError(t, parsed.Print(&printed))
		again, err := Parse("printed.yaml", printed.Bytes())
		must.NoError(t, err)
		must.Eq(t, parsed, again)
	}
}

// Each invalid text is rejected with its line and a remedy.
func TestInvalidSettingsAreRejectedWithLineAndRemedy(t *testing.T) {
	for name, test := range map[string]struct{ text, from, to, place, remedy string }{
		"unknown key":         {edge, "zone: edappally", "zone: edappally\nzones: 3", "node.yaml:3", "correct the line"},
		"unknown inner key":   {edge, "plain: true", "plain: true, cipher: none", "node.yaml:6", "correct the line"},
		"key twice":           {edge, "zone: edappally", "zone: edappally\nzone: vyttila", "node.yaml:3", "correct the line"},
		"wrong type":          {edge, "plain: true", "plain: often", "node.yaml:6", "correct the line"},
		"not YAML":            {edge, "name: edge-1", "name: [", "node.yaml:", "correct the line"},
		"two documents":       {edge, "security: {plain: true}", "security: {plain: true}\n---\nname: other", "node.yaml", "one document"},
		"no name":             {edge, "name: edge-1\n", "", "node.yaml", "set name"},
		"not a DNS name":      {edge, "name: edge-1", "name: edge 1", "node.yaml:1", "letters"},
		"copyOnly, no since":  {workerNode, "since: 2026-12-02T08:00:00Z, copyOnly: true", "copyOnly: true", "node.yaml:14", "set since"},
		"no unit":             {workerNode, "lease: 2s", "lease: 2", "node.yaml:12", "unit"},
		"wrong unit":          {workerNode, "probeInterval: 1s", "probeInterval: 1sec", "node.yaml:13", "unit"},
		"duration as list":    {workerNode, "probeInterval: 1s", "probeInterval: [1s]", "node.yaml:13", "unit"},
		"below minimum":       {workerNode, "healthInterval: 2s", "healthInterval: 500ms", "node.yaml:6", "at least 1s"},
		"below zero":          {workerNode, "scheduleOverlap: 10s", "scheduleOverlap: -10s", "node.yaml:12", "at least 0s"},
		"overlap of a minute": {workerNode, "scheduleOverlap: 10s", "scheduleOverlap: 1m", "node.yaml:12", "at most 59s"},
		"above maximum":       {workerNode, "holders: 3", "holders: 300", "node.yaml:12", "at most 15"},
		"host name":           {edge, `admin: "127.0.0.1:7003"`, `admin: "localhost:7003"`, "node.yaml:4", "IP and a port"},
		"no port":             {edge, `admin: "127.0.0.1:7003"`, `admin: "127.0.0.1"`, "node.yaml:4", "IP and a port"},
		"port too high":       {edge, `admin: "127.0.0.1:7003"`, `admin: "127.0.0.1:70003"`, "node.yaml:4", "IP and a port"},
		"wildcard advertised": {edge, `peer: "127.0.0.1:7000"`, `peer: "0.0.0.0:7000"`, "node.yaml", "advertise"},
		"seed":                {workerNode, `seeds: ["127.0.0.3:7000"]`, `seeds: ["127.0.0.3:7000", "peer"]`, "node.yaml:10", "IP and a port"},
		"source is no URL":    {edge, "http://127.0.0.1:9000", "127.0.0.1:9000", "node.yaml:5", "http://"},
		"profile":             {workerNode, "profile: bytes", "profile: fast", "node.yaml:5", "convergence bytes"},
		"service missing":     {workerNode, "service: storefront\n", "", "node.yaml", "set service"},
		"worker, no inbound":  {workerNode, `inbound: "127.0.0.1:7001", `, "", "node.yaml:7", "listen.inbound"},
		"inbound, no worker":  {edge, "outbound:", `inbound: "127.0.0.1:7001", outbound:`, "node.yaml:4", "listen.inbound"},
		"no security":         {edge, "security: {plain: true}\n", "", "node.yaml", "plain: true"},
		"plain and keys":      {edge, "plain: true", "plain: true, keyFile: a", "node.yaml:6", "security.plain"},
		"one key missing":     {workerNode, ", datagramKeyFile: d", "", "node.yaml:11", "datagramKeyFile"},
		"failClosedAfter":     {workerNode, "drain: {timeout: 10m}", "drain: {timeout: 10m}\ntenants: {failClosedAfter: 11m}", "node.yaml:17", "at most 10m"},
		"caller key only":     {edge, "security:", "callers: {keyFile: a}\nsecurity:", "node.yaml:6", "set certificateFile"},
	} {
		must.StrContains(t, test.text, test.from, must.Sprint(name))
		_, err := Parse("node.yaml", []byte(strings.Replace(test.text, test.from, test.to, 1)))
		must.Eq(t, fault.Settings, fault.KindOf(err), must.Sprint(name))
		must.StrHasPrefix(t, test.place, err.Error(), must.Sprint(name))
		_, remedy, _ := strings.Cut(err.Error(), "(remedy: ")
		must.StrContains(t, remedy, test.remedy, must.Sprint(name))
	}
}

func TestUnreadableFilesAreRejected(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large")
	must.NoError(t, os.WriteFile(large, append([]byte(edge+"#"), bytes.Repeat([]byte("#"), maxFileBytes)...), 0o600))
	for _, path := range []string{"nowhere", t.TempDir(), large} {
		_, err := Load(path)
		must.Eq(t, fault.Settings, fault.KindOf(err))
		must.StrContains(t, err.Error(), path)
	}
	valid := filepath.Join(t.TempDir(), "node.yaml")
	must.NoError(t, os.WriteFile(valid, []byte(edge), 0o600))
	parsed, err := Load(valid)
	must.NoError(t, err)
	must.Eq(t, "edge-1", parsed.Name)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{edge, workerNode, "", "a: &a [*a]", "name: [", "---\n---\n", "worker: {healthInterval: {}}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := Parse("node.yaml", text)
		if err != nil {
			must.Eq(t, fault.Settings, fault.KindOf(err))
			return
		}
		var printed bytes.Buffer
		must.NoError(t, parsed.Print(&printed))
		_, err = Parse("printed.yaml", printed.Bytes())
		must.NoError(t, err)
	})
}

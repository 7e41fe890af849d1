package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"sliphead/internal/control"
	"sliphead/internal/transport"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// collected returns the values of a collection, keyed by name and label values.
func collected(t *testing.T, collector prometheus.Collector) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(collector)
	families, err := registry.Gather()
	must.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			parts := []string{strings.TrimPrefix(family.GetName(), "sliphead_")}
			for _, label := range metric.GetLabel() {
				parts = append(parts, label.GetValue())
			}
			values[strings.Join(parts, " ")] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values
}

func TestControlMetricsMatchStatus(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	status := control.Status{Name: "a", Version: version.Version{Epoch: 2, Revision: 7}, Members: []wire.Member{
		{Status: wire.StatusAlive}, {Status: wire.StatusAlive}, {Status: wire.StatusSuspect},
	}}
	status.Distribution.Reader = true
	state := controlCollector{
		counters: func() transport.Counters { return transport.Counters{StreamBytesSent: 5, StreamsBusy: 1, StreamsIn: 4} },
		status:   func(context.Context) control.Status { return status },
		dropped:  func() uint64 { return 3 },
		ready:    func() bool { return true },
		lastRead: func() time.Time { return now.Add(-time.Minute) },
		now:      func() time.Time { return now },
	}
	values := collected(t, state)
	for name, value := range map[string]float64{
		"peer_bytes_total sent stream": 5, "peer_streams_total busy": 1, "peer_streams_open in": 4,
		"version_epoch": 2, "version_revision": 7, "reader": 1, "ready": 1,
		"members alive": 2, "members suspect": 1, "members leaving": 0,
		"control_messages_dropped_total": 3, "source_read_age_seconds": 60,
	} {
		found, known := values[name]
		must.True(t, known, must.Sprint(name))
		must.Eq(t, value, found, must.Sprint(name))
	}
	status = control.Status{} // the loop does not reply
	state.lastRead = func() time.Time { return time.Time{} }
	values = collected(t, state)
	must.MapNotContainsKeys(t, values, []string{"version_revision", "source_read_age_seconds"})
	must.MapContainsKey(t, values, "ready")
}

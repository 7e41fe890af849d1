package traffic

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
)

// Both handlers of a node register with one registry and count each request.
func TestMetricsCountRequests(t *testing.T) {
	registry := prometheus.NewRegistry()
	events := memory.New()
	m, _ := newFaultyMesh(t, func(config *Config) {
		config.Registerer, config.Logger = registry, &log.Logger{Handler: events}
	})
	_, _, err := m.call(t, "GET", "/lookup?n=a", "")
	must.NoError(t, err)
	_, _, err = m.call(t, "GET", "/lookup?n=b&do=close", "")
	must.NoError(t, err)
	waitFor(t, func() bool { return m.in.InFlight() == 0 && m.out.InFlight() == 0 })
	counts := map[string]float64{}
	families, err := registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += "," + label.GetName() + "=" + label.GetValue()
			}
			counts[name] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	must.Eq(t, 1, counts["sliphead_requests_total,outcome=answered,route=lookup,side=outbound"])
	must.Eq(t, 1, counts["sliphead_requests_total,outcome=unknown,route=lookup,side=outbound"])
	must.Eq(t, 2, counts["sliphead_requests_total,outcome=unknown,route=lookup,side=inbound"]) // one retry
	must.Eq(t, 1, counts["sliphead_retries_total,side=outbound"])
	must.Eq(t, 2, counts["sliphead_request_failures_total,cause=broken,side=inbound"])
	must.Eq(t, 0, counts["sliphead_requests_in_flight,side=inbound"])
	must.SliceNotEmpty(t, events.Entries)
	for _, entry := range events.Entries {
		must.Eq(t, "request.unknown", entry.Message)
	}
}

// The retries of a node are bounded to a share of its requests.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	bucket := newRetryBucket(Limits{RetryRatio: 0.125, RetryBurst: 2})
	must.True(t, bucket.take())
	must.True(t, bucket.take())
	must.False(t, bucket.take())
	for range 8 {
		must.False(t, bucket.take())
		bucket.deposit()
	}
	must.True(t, bucket.take())
}

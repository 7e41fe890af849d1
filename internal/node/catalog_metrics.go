package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	quotakeeper "sliphead/internal/quota/keeper"
)

// catalogState is what a catalog node's own metrics are read from when they are
// collected.
type catalogState struct{ node *CatalogNode }

// The metrics of a catalog node.
var (
	ageMetric       = describe("sliphead_catalog_age_seconds", "Time since the store was last known to have nothing newer.")
	storeMetric     = describe("sliphead_catalog_revision", "The store's revision up to which everything is known. It falls when the era rises.")
	eraMetric       = describe("sliphead_store_era", "How often the store has come back from a copy, as it counts. A change is a loss of what it had acknowledged.")
	doubtedMetric   = describe("sliphead_catalog_doubted", "Records and orders in a copy of the store that are not followed, since newer ones were known.")
	callsMetric     = describe("sliphead_store_calls_total", "Questions to the store, by what became of them.", "result")
	followersMetric = describe("sliphead_catalog_followers", "Nodes that this one passes news on to.")
	instancesMetric = describe("sliphead_catalog_instances", "Instances that the store records.")
	heldMetric      = describe("sliphead_quarantine_requests", "Requests under which workers have ended, by what becomes of them.", "state")
	tellingsMetric  = describe("sliphead_quarantine_messages_total", "Messages to other nodes on such requests.")
	toldBytesMetric = describe("sliphead_quarantine_bytes_total", "Bytes of these messages.")
	quotaMetric     = describe("sliphead_quota_requests_total", "Requests of tenants with a limit, by where their token came from.", "result")
	asksMetric      = describe("sliphead_quota_messages_total", "Messages to other nodes on tenants' limits.")
	askBytesMetric  = describe("sliphead_quota_bytes_total", "Bytes of these messages.")
	lostAsksMetric  = describe("sliphead_quota_messages_dropped_total", "Messages of other nodes on tenants' limits that found the queue full.")
	linesMetric     = describe("sliphead_log_lines_dropped_total", "Lines of the log that were left out.")
)

// Describe implements prometheus.Collector.
func (catalogState) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		readyMetric, readerMetric, revisionMetric, ageMetric, storeMetric, eraMetric, doubtedMetric, callsMetric, followersMetric, instancesMetric, linesMetric,
		heldMetric, tellingsMetric, toldBytesMetric, quotaMetric, asksMetric, askBytesMetric, lostAsksMetric,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (s catalogState) Collect(metrics chan<- prometheus.Metric) {
	sink := sink{metrics}
	ready, _ := s.node.ready()
	sink.gauge(readyMetric, number(ready))
	if s.node.options.DroppedLines != nil {
		sink.counter(linesMetric, s.node.options.DroppedLines())
	}
	s.collectQuarantine(sink)
	s.collectQuota(sink)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := s.node.replicator.Status(ctx)
	if status.Revision == 0 {
		return
	}
	sink.gauge(readerMetric, number(status.Reader))
	sink.gauge(revisionMetric, float64(status.Version))
	sink.gauge(ageMetric, status.AgeS)
	sink.gauge(storeMetric, float64(status.Revision))
	sink.gauge(eraMetric, float64(status.Era))
	sink.gauge(doubtedMetric, float64(status.Doubted))
	sink.gauge(followersMetric, float64(status.Followers))
	sink.gauge(instancesMetric, float64(status.Instances))
	sink.counter(callsMetric, status.Answered, "answered")
	sink.counter(callsMetric, status.Failed, "failed")
}

func (s catalogState) collectQuarantine(sink sink) {
	status := s.node.quarantine.Status()
	sink.gauge(heldMetric, float64(status.Suspected), "suspected")
	sink.gauge(heldMetric, float64(status.Held), "held")
	messages, bytes := s.node.quarantine.Sent()
	sink.counter(tellingsMetric, messages)
	sink.counter(toldBytesMetric, bytes)
}

func (s catalogState) collectQuota(sink sink) {
	keeper := s.node.quota
	if keeper == nil {
		return
	}
	for _, result := range quotakeeper.Results() {
		sink.counter(quotaMetric, keeper.Counted(result), string(result))
	}
	messages, bytes := keeper.Sent()
	sink.counter(asksMetric, messages)
	sink.counter(askBytesMetric, bytes)
	sink.counter(lostAsksMetric, keeper.Dropped())
}

package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	quotakeeper "sliphead/internal/quota/keeper"
)

// catalogCollector reads a catalog node's own metrics at the time of their collection.
type catalogCollector struct{ node *CatalogNode }

// The metrics of a catalog node.
var (
	catalogAgeMetric         = describe("sliphead_catalog_age_seconds", "Time since the store was last known to have nothing newer.")
	storeRevisionMetric      = describe("sliphead_catalog_revision", "The store's revision up to which everything is known. It falls when the era rises.")
	storeEraMetric           = describe("sliphead_store_era", "How often the store has come back from a copy, as it counts. A change is a loss of what it had acknowledged.")
	doubtedMetric            = describe("sliphead_catalog_doubted", "Records and orders in a copy of the store that are not followed, since newer ones were known.")
	storeCallsMetric         = describe("sliphead_store_calls_total", "Questions to the store, by what became of them.", "result")
	followersMetric          = describe("sliphead_catalog_followers", "Nodes that this one passes news on to.")
	instancesMetric          = describe("sliphead_catalog_instances", "Instances that the store records.")
	quarantinedMetric        = describe("sliphead_quarantine_requests", "Requests under which workers have ended, by what becomes of them.", "state")
	quarantineMessagesMetric = describe("sliphead_quarantine_messages_total", "Messages to other nodes on such requests.")
	quarantineBytesMetric    = describe("sliphead_quarantine_bytes_total", "Bytes of these messages.")
	quotaMetric              = describe("sliphead_quota_requests_total", "Requests of tenants with a limit, by where their token came from.", "result")
	quotaMessagesMetric      = describe("sliphead_quota_messages_total", "Messages to other nodes on tenants' limits.")
	quotaBytesMetric         = describe("sliphead_quota_bytes_total", "Bytes of these messages.")
	quotaDroppedMetric       = describe("sliphead_quota_messages_dropped_total", "Messages of other nodes on tenants' limits that found the queue full.")
	droppedLinesMetric       = describe("sliphead_log_lines_dropped_total", "Lines of the log that were left out.")
)

// Describe implements prometheus.Collector.
func (catalogCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		readyMetric, readerMetric, revisionMetric, catalogAgeMetric, storeRevisionMetric, storeEraMetric, doubtedMetric, storeCallsMetric, followersMetric, instancesMetric, droppedLinesMetric,
		quarantinedMetric, quarantineMessagesMetric, quarantineBytesMetric, quotaMetric, quotaMessagesMetric, quotaBytesMetric, quotaDroppedMetric,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (s catalogCollector) Collect(metrics chan<- prometheus.Metric) {
	sink := sink{metrics}
	ready, _ := s.node.ready()
	sink.gauge(readyMetric, gaugeValue(ready))
	if s.node.options.DroppedLines != nil {
		sink.counter(droppedLinesMetric, s.node.options.DroppedLines())
	}
	s.collectQuarantine(sink)
	s.collectQuota(sink)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := s.node.replicator.Status(ctx)
	if status.Revision == 0 {
		return
	}
	sink.gauge(readerMetric, gaugeValue(status.Reader))
	sink.gauge(revisionMetric, float64(status.Version))
	sink.gauge(catalogAgeMetric, status.AgeSeconds)
	sink.gauge(storeRevisionMetric, float64(status.Revision))
	sink.gauge(storeEraMetric, float64(status.Era))
	sink.gauge(doubtedMetric, float64(status.Doubted))
	sink.gauge(followersMetric, float64(status.Followers))
	sink.gauge(instancesMetric, float64(status.Instances))
	sink.counter(storeCallsMetric, status.Answered, "answered")
	sink.counter(storeCallsMetric, status.Failed, "failed")
}

func (s catalogCollector) collectQuarantine(sink sink) {
	status := s.node.quarantine.Status()
	sink.gauge(quarantinedMetric, float64(status.Suspected), "suspected")
	sink.gauge(quarantinedMetric, float64(status.Held), "held")
	messages, bytes := s.node.quarantine.Sent()
	sink.counter(quarantineMessagesMetric, messages)
	sink.counter(quarantineBytesMetric, bytes)
}

func (s catalogCollector) collectQuota(sink sink) {
	keeper := s.node.quota
	if keeper == nil {
		return
	}
	for _, result := range quotakeeper.Results() {
		sink.counter(quotaMetric, keeper.RequestCount(result), string(result))
	}
	messages, bytes := keeper.Sent()
	sink.counter(quotaMessagesMetric, messages)
	sink.counter(quotaBytesMetric, bytes)
	sink.counter(quotaDroppedMetric, keeper.Dropped())
}

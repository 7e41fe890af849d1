package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/control"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// statusTimeout limits how long a collection waits for the control loop. If the loop does not
// reply in time, its metrics are left out.
const statusTimeout = time.Second

// controlCollector reads the metrics of the control loop and the peer transport at the time of
// their collection.
type controlCollector struct {
	counters func() transport.Counters
	status   func(context.Context) control.Status
	dropped  func() uint64
	ready    func() bool
	lastRead func() time.Time // time of the last read of the source, zero before the first
	now      func() time.Time
}

// controlCollector returns the collector of this node.
func (n *Node) controlCollector() controlCollector {
	return controlCollector{
		counters: n.transport.Counters,
		status:   n.loop.Status,
		dropped:  n.loop.Dropped,
		lastRead: n.source.reader.LastRead,
		now:      time.Now,
		ready: func() bool {
			ready, _ := n.ready()
			return ready
		},
	}
}

// The metrics of control.
var (
	bytesMetric            = describe("sliphead_peer_bytes_total", "Bytes between this node and its peers.", "kind", "direction")
	messagesMetric         = describe("sliphead_peer_messages_total", "Messages between this node and its peers.", "direction")
	messagesDroppedMetric  = describe("sliphead_peer_messages_dropped_total", "Messages given up before they were written.")
	streamsMetric          = describe("sliphead_peer_streams_total", "Streams between this node and its peers, by what became of them.", "event")
	streamsOpenMetric      = describe("sliphead_peer_streams_open", "Streams that are open.", "direction")
	datagramsRefusedMetric = describe("sliphead_peer_datagrams_refused_total", "Datagrams that were malformed, not authentic or over the rate.")
	epochMetric            = describe("sliphead_version_epoch", "Epoch of the version in force.")
	revisionMetric         = describe("sliphead_version_revision", "Revision of the version in force.")
	readyMetric            = describe("sliphead_ready", "1 while the node may serve, else 0.")
	readerMetric           = describe("sliphead_reader", "1 while the node reads the source, else 0.")
	membersMetric          = describe("sliphead_members", "Live members that this node knows, itself included.", "status")
	controlDroppedMetric   = describe("sliphead_control_messages_dropped_total", "Messages from peers that found the control loop's queue full.")
	readAgeMetric          = describe("sliphead_source_read_age_seconds", "Time since the source answered this node. Absent before the first answer.")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (controlCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		bytesMetric, messagesMetric, messagesDroppedMetric, streamsMetric, streamsOpenMetric, datagramsRefusedMetric,
		epochMetric, revisionMetric, readyMetric, readerMetric, membersMetric, controlDroppedMetric, readAgeMetric,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (s controlCollector) Collect(metrics chan<- prometheus.Metric) {
	sink := sink{metrics}
	sink.peers(s.counters())
	sink.counter(controlDroppedMetric, s.dropped())
	sink.gauge(readyMetric, gaugeValue(s.ready()))
	if last := s.lastRead(); !last.IsZero() {
		sink.gauge(readAgeMetric, s.now().Sub(last).Seconds())
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if status := s.status(ctx); status.Name != "" {
		sink.control(status)
	}
}

// sink sends the values of one collection to Prometheus.
type sink struct{ metrics chan<- prometheus.Metric }

func (s sink) counter(description *prometheus.Desc, value uint64, labels ...string) {
	s.metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
}

func (s sink) gauge(description *prometheus.Desc, value float64, labels ...string) {
	s.metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}

// peers sends the transport's counters.
func (s sink) peers(counters transport.Counters) {
	s.counter(bytesMetric, counters.StreamBytesSent, "stream", "sent")
	s.counter(bytesMetric, counters.StreamBytesReceived, "stream", "received")
	s.counter(bytesMetric, counters.DatagramBytesSent, "datagram", "sent")
	s.counter(bytesMetric, counters.DatagramBytesReceived, "datagram", "received")
	s.counter(messagesMetric, counters.MessagesSent, "sent")
	s.counter(messagesMetric, counters.MessagesReceived, "received")
	s.counter(messagesDroppedMetric, counters.Dropped)
	s.counter(streamsMetric, counters.StreamsOpened, "opened")
	s.counter(streamsMetric, counters.StreamsAccepted, "accepted")
	s.counter(streamsMetric, counters.StreamsRefused, "refused")
	s.counter(streamsMetric, counters.StreamsBusy, "busy")
	s.counter(streamsMetric, counters.StreamsClosedForFault, "fault")
	s.counter(datagramsRefusedMetric, counters.DatagramsRefused)
	s.gauge(streamsOpenMetric, float64(counters.StreamsIn), "in")
	s.gauge(streamsOpenMetric, float64(counters.StreamsOut), "out")
}

// control sends the metrics of the control loop's status.
func (s sink) control(status control.Status) {
	s.gauge(epochMetric, float64(status.Version.Epoch))
	s.gauge(revisionMetric, float64(status.Version.Revision))
	s.gauge(readerMetric, gaugeValue(status.Distribution.Reader))
	members := map[wire.Status]int{wire.StatusAlive: 0, wire.StatusSuspect: 0, wire.StatusLeaving: 0}
	for _, member := range status.Members {
		members[member.Status]++
	}
	for state, count := range members {
		s.gauge(membersMetric, float64(count), string(state))
	}
}

// gaugeValue returns 1 for true.
func gaugeValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

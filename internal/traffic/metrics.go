package traffic

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/outcome"
)

// metrics counts the requests of one handler. Label values are bounded: routes by the
// declarations, outcomes and causes by the code.
type metrics struct {
	logger   log.Interface
	side     string
	requests *prometheus.CounterVec
	failures *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  prometheus.Counter
}

// gauges are read when metrics are collected.
type gauges struct {
	inFlight  func() int
	queued    func() int // nil: the handler has no queue
	bodyBytes func() int // memory of buffered bodies; nil: it is not bounded
}

func newMetrics(config Config, side string, read gauges) *metrics {
	labels := prometheus.Labels{"side": side}
	m := &metrics{
		logger: config.Logger,
		side:   side,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sliphead_requests_total", Help: "Requests by route and outcome.", ConstLabels: labels,
		}, []string{"route", "outcome"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sliphead_request_failures_total", Help: "Requests that were not answered, by cause.", ConstLabels: labels,
		}, []string{"cause"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sliphead_request_seconds", Help: "Time from a request's header to its end.", ConstLabels: labels,
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"route"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sliphead_retries_total", Help: "Tries after the first.", ConstLabels: labels,
		}),
	}
	if config.Registerer != nil {
		m.register(config.Registerer, labels, read)
	}
	return m
}

func (m *metrics) register(registerer prometheus.Registerer, labels prometheus.Labels, read gauges) {
	registerer.MustRegister(m.requests, m.failures, m.seconds, m.retries, gauge("sliphead_requests_in_flight", "Requests that have not ended.", labels, read.inFlight))
	if read.bodyBytes != nil {
		registerer.MustRegister(gauge("sliphead_body_buffer_bytes", "Memory reserved for buffered bodies: outbound of requests, inbound of responses without a length.", labels, read.bodyBytes))
	}
	if read.queued != nil {
		registerer.MustRegister(gauge("sliphead_requests_queued", "Requests that wait for a slot.", labels, read.queued))
	}
}

func gauge(name, help string, labels prometheus.Labels, read func() int) prometheus.Collector {
	options := prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}
	return prometheus.NewGaugeFunc(options, func() float64 { return float64(read()) })
}

// conclude counts an exchange and sends its final response.
func (m *metrics) conclude(x *exchange, ended result) {
	m.count(x, ended)
	conclude(x, ended)
}

// count counts an exchange.
func (m *metrics) count(x *exchange, ended result) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	m.requests.WithLabelValues(route, string(ended.outcome)).Inc()
	m.seconds.WithLabelValues(route).Observe(time.Since(x.started).Seconds())
	if ended.cause != causeNone {
		m.failures.WithLabelValues(string(ended.cause)).Inc()
	}
	if ended.outcome != outcome.Answered {
		m.logEnd(x, ended)
	}
}

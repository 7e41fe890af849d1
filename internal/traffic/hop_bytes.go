package traffic

import (
	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// hopBytes counts what tries at other nodes take of the machine's link, by what came of
// them and by how far they went: where a link is full, or bytes are dear, this says what for.
type hopBytes struct {
	counter *prometheus.CounterVec
}

// What a try came to, as its bytes are counted.
const (
	bytesAnswered = "answered" // it brought a worker's answer
	bytesRefused  = "refused"  // the node had no room, or the worker did not take it
	bytesLost     = "lost"     // it brought nothing: silence, a cut connection, the end of its time
)

// How far a try went, as its bytes are counted.
const (
	toZone   = "zone"   // to this node's own
	toRegion = "region" // to another zone of this node's region
	toFar    = "far"    // to another region
)

// howFar tells how far a try at an endpoint goes.
func (out *Outbound) howFar(endpoint snapshot.Endpoint) string {
	switch {
	case endpoint.Zone == out.config.Zone:
		return toZone
	case balance.IsFar(out.config.Zone, out.config.Region, &endpoint):
		return toFar
	default:
		return toRegion
	}
}

func newHopBytes(registerer prometheus.Registerer) *hopBytes {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sliphead_hop_bytes_total", Help: "Bytes of tries at other nodes, by what came of them, their direction and how far they went.",
	}, []string{"came", "direction", "to"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return &hopBytes{counter: counter}
}

// addTo returns what counts the bytes of a try that goes so far.
func (b *hopBytes) addTo(to string) func(failure *result, sent, received int64) {
	return func(failure *result, sent, received int64) { b.add(to, failure, sent, received) }
}

// add counts the bytes of one try.
func (b *hopBytes) add(to string, failure *result, sent, received int64) {
	came := bytesAnswered
	switch {
	case failure == nil:
	case failure.cause == causeRefused || failure.cause == causeFull:
		came = bytesRefused
	default:
		came = bytesLost
	}
	b.counter.WithLabelValues(came, "out", to).Add(float64(sent))
	b.counter.WithLabelValues(came, "in", to).Add(float64(received))
}

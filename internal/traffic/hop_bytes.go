package traffic

import (
	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// hopBytes counts the bytes that attempts at other nodes send and receive over the machine's
// link, by outcome and distance. Where a link is full or bytes are expensive, this shows what uses
// them.
type hopBytes struct {
	counter *prometheus.CounterVec
}

// Label values for the outcome of an attempt.
const (
	bytesAnswered = "answered" // it returned a worker's response
	bytesRefused  = "refused"  // the node had no capacity, or the worker refused it
	bytesLost     = "lost"     // it returned nothing: no acknowledgement, a cut connection, or the deadline
)

// Label values for the distance of an attempt.
const (
	distanceSameZone    = "zone"   // within this node's zone
	distanceSameRegion  = "region" // to another zone of this node's region
	distanceOtherRegion = "far"    // to another region
)

// distanceLabel returns the label value for the distance to an endpoint.
func (out *Outbound) distanceLabel(endpoint snapshot.Endpoint) string {
	switch {
	case endpoint.Zone == out.config.Zone:
		return distanceSameZone
	case balance.IsRemote(out.config.Zone, out.config.Region, &endpoint):
		return distanceOtherRegion
	default:
		return distanceSameRegion
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

// recorder returns a function that counts the bytes of an attempt at the given distance.
func (b *hopBytes) recorder(to string) func(failure *result, sent, received int64) {
	return func(failure *result, sent, received int64) { b.add(to, failure, sent, received) }
}

// add counts the bytes of one attempt.
func (b *hopBytes) add(to string, failure *result, sent, received int64) {
	outcome := bytesAnswered
	switch {
	case failure == nil:
	case failure.cause == causeRefused || failure.cause == causeFull:
		outcome = bytesRefused
	default:
		outcome = bytesLost
	}
	b.counter.WithLabelValues(outcome, "out", to).Add(float64(sent))
	b.counter.WithLabelValues(outcome, "in", to).Add(float64(received))
}

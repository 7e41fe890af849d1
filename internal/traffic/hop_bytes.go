package traffic

import "github.com/prometheus/client_golang/prometheus"

// hopBytes counts what tries at other nodes take of the machine's link, by what came of
// them: where a link is full, this says what fills it.
type hopBytes struct {
	counter *prometheus.CounterVec
}

// What a try came to, as its bytes are counted.
const (
	bytesAnswered = "answered" // it brought a worker's answer
	bytesRefused  = "refused"  // the node had no room, or the worker did not take it
	bytesLost     = "lost"     // it brought nothing: silence, a cut connection, the end of its time
)

func newHopBytes(registerer prometheus.Registerer) *hopBytes {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sliphead_hop_bytes_total", Help: "Bytes of tries at other nodes, by what came of them and their direction.",
	}, []string{"came", "direction"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return &hopBytes{counter: counter}
}

// add counts the bytes of one try.
func (b *hopBytes) add(failure *result, sent, received int64) {
	came := bytesAnswered
	switch {
	case failure == nil:
	case failure.cause == causeRefused || failure.cause == causeFull:
		came = bytesRefused
	default:
		came = bytesLost
	}
	b.counter.WithLabelValues(came, "out").Add(float64(sent))
	b.counter.WithLabelValues(came, "in").Add(float64(received))
}

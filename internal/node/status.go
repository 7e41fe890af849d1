package node

import (
	"context"

	"sliphead/internal/control"
	"sliphead/internal/transport"
)

// Status is the state of a node that its admin listener reports to operators.
type Status struct {
	control.Status
	Ready                bool               `json:"ready"`
	Reason               string             `json:"reason,omitempty"` // why it is not ready
	InFlight             int                `json:"inFlight"`
	SourceReads          uint64             `json:"sourceReads"`
	ControlBytesSent     uint64             `json:"controlBytesSent"`
	ControlBytesReceived uint64             `json:"controlBytesReceived"`
	Transport            transport.Counters `json:"transport"`
}

// Counters returns the transport's counters since the start of the process.
func (n *Node) Counters() transport.Counters { return n.transport.Counters() }

// Status collects the state of all parts. The control loop's part is empty when the loop does
// not reply before ctx ends.
func (n *Node) Status(ctx context.Context) Status {
	ready, reason := n.ready()
	counters := n.transport.Counters()
	return Status{
		Status:               n.loop.Status(ctx),
		Ready:                ready,
		Reason:               reason,
		InFlight:             n.requests.inFlight(),
		SourceReads:          n.source.reader.Reads(),
		ControlBytesSent:     counters.StreamBytesSent + counters.DatagramBytesSent,
		ControlBytesReceived: counters.StreamBytesReceived + counters.DatagramBytesReceived,
		Transport:            counters,
	}
}

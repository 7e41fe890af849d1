package node

import (
	"context"

	"sliphead/internal/control"
	"sliphead/internal/transport"
)

// Status is what a node tells operators.
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

// Counters returns the transport's running totals.
func (n *Node) Counters() transport.Counters { return n.transport.Counters() }

// Status gathers the state of all parts.
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

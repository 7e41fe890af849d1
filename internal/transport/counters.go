package transport

import (
	"net"
	"sync/atomic"
)

// Counters are totals since the start, except for StreamsIn and StreamsOut. Stream
// bytes are counted at the socket, after compression and TLS and without TCP and IP
// headers; datagram bytes are UDP payloads.
type Counters struct {
	StreamBytesSent       uint64
	StreamBytesReceived   uint64
	DatagramBytesSent     uint64
	DatagramBytesReceived uint64
	MessagesSent          uint64 // written to a stream or as a datagram
	MessagesReceived      uint64 // delivered
	StreamsOpened         uint64 // by this node
	StreamsAccepted       uint64 // from peers
	StreamsRefused        uint64 // rejected with Busy, or closed because of the limits
	StreamsBusy           uint64 // a peer replied Busy to this node
	StreamsClosedForFault uint64 // a peer broke the protocol
	DatagramsRefused      uint64 // malformed, not authentic or over the rate
	Dropped               uint64 // messages dropped before they were written
	StreamsIn             int64  // currently open, from peers
	StreamsOut            int64  // currently open, to peers
}

// totals are the Counters in a form for concurrent updates.
type totals struct {
	streamBytesSent, streamBytesReceived     atomic.Uint64
	datagramBytesSent, datagramBytesReceived atomic.Uint64
	messagesSent, messagesReceived           atomic.Uint64
	streamsOpened, streamsAccepted           atomic.Uint64
	streamsRefused, streamsBusy              atomic.Uint64
	streamsClosedForFault, datagramsRefused  atomic.Uint64
	dropped                                  atomic.Uint64
	streamsIn, streamsOut                    atomic.Int64
}

// read copies the totals.
func (t *totals) read() Counters {
	return Counters{
		StreamBytesSent:       t.streamBytesSent.Load(),
		StreamBytesReceived:   t.streamBytesReceived.Load(),
		DatagramBytesSent:     t.datagramBytesSent.Load(),
		DatagramBytesReceived: t.datagramBytesReceived.Load(),
		MessagesSent:          t.messagesSent.Load(),
		MessagesReceived:      t.messagesReceived.Load(),
		StreamsOpened:         t.streamsOpened.Load(),
		StreamsAccepted:       t.streamsAccepted.Load(),
		StreamsRefused:        t.streamsRefused.Load(),
		StreamsBusy:           t.streamsBusy.Load(),
		StreamsClosedForFault: t.streamsClosedForFault.Load(),
		DatagramsRefused:      t.datagramsRefused.Load(),
		Dropped:               t.dropped.Load(),
		StreamsIn:             t.streamsIn.Load(),
		StreamsOut:            t.streamsOut.Load(),
	}
}

// countedConn counts the bytes of a stream at the socket.
type countedConn struct {
	net.Conn
	totals   *totals
	received atomic.Int64 // of this connection
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.totals.streamBytesReceived.Add(uint64(count))
	c.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.totals.streamBytesSent.Add(uint64(count))
	return count, err
}

// Bytes returns the bytes sent on streams and in datagrams.
func (c Counters) Bytes() uint64 { return c.StreamBytesSent + c.DatagramBytesSent }

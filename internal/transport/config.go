package transport

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"

	"sliphead/internal/defaults"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// Received is one message from a peer.
type Received struct {
	Envelope wire.Envelope
	Remote   string // the peer's socket address
	Bytes    int    // size after decoding
	Datagram bool   // whether it was received in a datagram
}

// Compression is the coding of outbound streams. Listeners accept both codings.
type Compression string

// The codings of a stream.
const (
	CompressionDeflate Compression = "deflate" // RFC 1951, with a window of 8 KiB
	CompressionNone    Compression = "none"    // for baselines and debugging
)

// Config configures a Transport.
type Config struct {
	Bind             string               // host:port of the stream and datagram listeners
	Self             func() wire.Member   // this node's membership register, sent in Hello; safe for concurrent use
	AlternativePeers func() []wire.Member // optional: peers listed in Busy, to which a rejected dialer may connect instead; safe for concurrent use
	Network          Network              // default: System
	Security         Security             // required: the zero value is rejected, set Plain or the files
	Compression      Compression          // default: CompressionDeflate
	Deliver          func(Received)       // called concurrently from reader goroutines; must not block for long
	Logger           log.Interface        // default: discards
	Limits           Limits               // zero fields are set to their defaults
	Random           *rand.Rand           // source of jitter; the transport serializes its use
}

// Limits bound the resources that peers may use on this node. Zero fields are set to
// their defaults.
type Limits struct {
	MaxStreams        int           // concurrent streams from peers
	StreamsPerSecond  float64       // rate limit of accepted streams
	StreamBurst       int           // burst of accepted streams
	MaxLineBytes      int           // length of one message on a stream
	LongLineBytes     int           // memory for long lines of all streams while they are read
	MessagesPerSecond float64       // rate limit per stream
	MessageBurst      int           // burst per stream
	QueueMessages     int           // messages queued per peer
	QueueBytes        int           // bytes queued per peer; a single message is queued whatever its size
	QueueAge          time.Duration // messages that waited longer are dropped, because late messages do more harm than lost ones
	IdleTimeout       time.Duration // after which an outbound stream without messages is closed
	HandshakeTimeout  time.Duration // for dial, TLS handshake and Hello
	WriteTimeout      time.Duration // for one batch of messages
	BackoffBase       time.Duration // upper bound of the first backoff
	BackoffMax        time.Duration // upper bound of every backoff
	RetryAfter        time.Duration // Busy asks a rejected dialer to retry after 0.5 to 1.5 times this
}

// withDefaults returns the limits with defaults for the zero fields.
func (l Limits) withDefaults() Limits {
	defaults.Set(&l.MaxStreams, 256)
	defaults.Set(&l.StreamsPerSecond, 50)
	defaults.Set(&l.StreamBurst, 100)
	defaults.Set(&l.MaxLineBytes, wire.MaxLineBytes)
	defaults.Set(&l.LongLineBytes, 2*wire.MaxLineBytes)
	defaults.Set(&l.MessagesPerSecond, 5000)
	defaults.Set(&l.MessageBurst, 10000)
	defaults.Set(&l.QueueMessages, 256)
	defaults.Set(&l.QueueBytes, 4<<20)
	defaults.Set(&l.QueueAge, 5*time.Second)
	defaults.Set(&l.IdleTimeout, 30*time.Second)
	defaults.Set(&l.HandshakeTimeout, 5*time.Second)
	defaults.Set(&l.WriteTimeout, 10*time.Second)
	defaults.Set(&l.BackoffBase, 100*time.Millisecond)
	defaults.Set(&l.BackoffMax, 5*time.Second)
	defaults.Set(&l.RetryAfter, time.Second)
	return l
}

// withDefaults checks the configuration and sets the defaults of optional fields.
func (c Config) withDefaults() (Config, error) {
	if _, _, err := net.SplitHostPort(c.Bind); err != nil {
		return c, fault.Wrap(err, fault.Settings, "give listen.peer as IP:port", "the peer address %q is invalid", c.Bind)
	}
	if c.Self == nil || c.Deliver == nil || c.Random == nil {
		return c, fault.New(fault.Internal, "report this defect", "transport needs Self, Deliver and Random")
	}
	if c.Network == nil {
		c.Network = System{}
	}
	if c.AlternativePeers == nil {
		c.AlternativePeers = func() []wire.Member { return nil }
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	defaults.Set(&c.Compression, CompressionDeflate)
	if c.Compression != CompressionDeflate && c.Compression != CompressionNone {
		return c, fault.New(fault.Settings, "use deflate or none", "compression %q is unknown", c.Compression)
	}
	c.Limits = c.Limits.withDefaults()
	return c, nil
}

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
	Bytes    int    // decoded size
	Datagram bool   // whether it came by datagram
}

// Compression names how outgoing streams are coded. Listeners take either.
type Compression string

// The codings of a stream.
const (
	CompressionDeflate Compression = "deflate" // RFC 1951, window of 8 KiB
	CompressionNone    Compression = "none"    // for baselines and debugging
)

// Config says how a node talks to its peers.
type Config struct {
	Bind        string               // host:port of the stream and datagram listeners
	Self        func() wire.Member   // this node's register, for Hello; safe for concurrent use
	Others      func() []wire.Member // optional: whom a refused dialer may ask instead; safe for concurrent use
	Network     Network              // default System
	Security    Security             // the zero value is refused: name plain or the files
	Compression Compression          // default CompressionDeflate
	Deliver     func(Received)       // called from reader goroutines; must not block long
	Logger      log.Interface        // default discards
	Limits      Limits               // zero fields take their defaults
	Random      *rand.Rand           // source of jitter; the transport serialises its use
}

// Limits bound what peers may cost this node. A zero field takes its default.
type Limits struct {
	MaxStreams        int           // open streams accepted from peers
	StreamsPerSecond  float64       // rate at which streams are admitted
	StreamBurst       int           // streams admitted at once before the rate counts
	MaxLineBytes      int           // one message on a stream
	LongLineBytes     int           // long lines of all streams together while they are read
	MessagesPerSecond float64       // from one stream
	MessageBurst      int           // messages of one stream at once before the rate counts
	QueueMessages     int           // waiting for one peer
	QueueBytes        int           // waiting for one peer; one message is let in whatever its size
	QueueAge          time.Duration // a message that waited longer is dropped: late ones do more harm than lost ones
	IdleTimeout       time.Duration // an outgoing stream without messages is closed
	HandshakeTimeout  time.Duration // dial, TLS and Hello
	WriteTimeout      time.Duration // one batch of messages
	BackoffBase       time.Duration // the first backoff is up to this long
	BackoffMax        time.Duration // no backoff is longer
	RetryAfter        time.Duration // a refused dialer is told to come back after half to one and a half of this
}

// withDefaults fills the zero fields.
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

// withDefaults checks the configuration and fills what is optional.
func (c Config) withDefaults() (Config, error) {
	if _, _, err := net.SplitHostPort(c.Bind); err != nil {
		return c, fault.Wrap(err, fault.Settings, "give listen.peer as IP:port", "the peer address %q is wrong", c.Bind)
	}
	if c.Self == nil || c.Deliver == nil || c.Random == nil {
		return c, fault.New(fault.Internal, "report this defect", "transport needs Self, Deliver and Random")
	}
	if c.Network == nil {
		c.Network = System{}
	}
	if c.Others == nil {
		c.Others = func() []wire.Member { return nil }
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

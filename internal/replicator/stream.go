package replicator

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/replication"
)

// hello is the first message on a connection. A follower sends the position that it already has;
// an announcement only reports that its sender is running.
type hello struct {
	From     string           `json:"from"` // address at which the sender is reached
	Position catalog.Position `json:"held"`
	Announce bool             `json:"announce,omitempty"`
	Fast     bool             `json:"fast,omitempty"` // whether the sender's link is fast
	// Preferred are the nodes that the sender prefers as readers for its zone.
	Preferred []string `json:"preferred,omitempty"`
}

// update is one line of a stream.
type update struct {
	Batch  catalog.Batch
	Age    time.Duration // since the store confirmed that nothing was newer
	Reader string        // address of the node whose poll the store confirmed
	Serial uint64        // of that poll
	// Preferred are the nodes that should read the store for the sender's zone.
	Preferred []string
}

// Limits of streams.
const (
	maxHelloBytes = 4 << 10
	helloTimeout  = 2 * time.Second
	writeTimeout  = 2 * time.Second
	followerQueue = 16 // lines queued for one follower; its stream is closed if more are needed
	maxFollowers  = 256
)

// follower is a node to which this one relays updates.
type follower struct {
	address string // at which its node is reached
	conn    net.Conn
	queue   chan []byte
	sent    catalog.Position // its position after all lines sent so far
	dropped bool
}

type followerLost struct{ follower *follower }

// encodedUpdate is the last encoded line, shared by all followers at the same position.
type encodedUpdate struct {
	from, to catalog.Position
	line     []byte
}

// accept accepts connections of followers until ctx ends.
func (r *Replicator) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(r.share(tickShare)) // most likely out of file descriptors
			continue
		}
		go r.serveFollower(ctx, conn)
	}
}

// serveFollower reads the first line of a connection, then writes updates to the follower until
// its stream ends.
func (r *Replicator) serveFollower(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	reader := bufio.NewReaderSize(conn, maxHelloBytes)
	line, err := reader.ReadSlice('\n')
	var greeting hello
	if err != nil || json.Unmarshal(line, &greeting) != nil || net.ParseIP(greeting.From) == nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	r.submit(ctx, replication.PeerSeen{Address: greeting.From, Fast: greeting.Fast, Preferred: greeting.Preferred})
	if greeting.Announce {
		return
	}
	peer := &follower{address: greeting.From, conn: conn, queue: make(chan []byte, followerQueue), sent: greeting.Position}
	r.submit(ctx, peer)
	go r.watchClose(ctx, peer, reader)
	for line := range peer.queue {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(line); err != nil {
			break
		}
	}
	r.submit(ctx, followerLost{peer})
}

// watchClose reports when a follower closes its stream.
func (r *Replicator) watchClose(ctx context.Context, peer *follower, reader *bufio.Reader) {
	_, _ = reader.ReadByte()
	r.submit(ctx, followerLost{peer})
}

// addFollower registers a follower and sends it at once what it lacks, unless maxFollowers is
// reached.
func (r *Replicator) addFollower(peer *follower) {
	if len(r.followers) >= maxFollowers {
		close(peer.queue)
		return
	}
	r.followers[peer] = struct{}{}
	r.sendTo(peer)
}

// onFollowerLost closes the stream of a lost follower and announces this node to it, since it may
// restart while the store is unreachable.
func (r *Replicator) onFollowerLost(ctx context.Context, peer *follower) {
	if _, registered := r.followers[peer]; !registered {
		return
	}
	r.drop(peer)
	r.announceRepeatedly(ctx, peer.address)
}

// drop removes a follower and closes its queue.
func (r *Replicator) drop(peer *follower) {
	delete(r.followers, peer)
	if !peer.dropped {
		peer.dropped = true
		close(peer.queue)
	}
}

func (r *Replicator) closeAll() {
	for peer := range r.followers {
		r.drop(peer)
		_ = peer.conn.Close()
	}
	if r.stream != nil {
		r.stream.cancel()
	}
}

// heartbeatIfDue sends followers the age of this node's catalog when a heartbeat is due.
func (r *Replicator) heartbeatIfDue() {
	if time.Since(r.lastSent) >= r.share(heartbeatShare) {
		r.sendToFollowers()
	}
}

func (r *Replicator) sendToFollowers() {
	r.lastSent = time.Now()
	r.lastEncoded = encodedUpdate{}
	for peer := range r.followers {
		r.sendTo(peer)
	}
}

// sendTo sends a follower the changes that it lacks and their age. A follower that does not keep
// up is dropped; it reconnects and reports its position.
func (r *Replicator) sendTo(peer *follower) {
	state := r.machine.State()
	if r.lastEncoded.line == nil || r.lastEncoded.from != peer.sent || r.lastEncoded.to != state.Position() {
		age, _ := r.machine.Age(r.config.Now())
		reader, serial := r.machine.ConfirmedBy()
		line, err := json.Marshal(update{Batch: state.Since(peer.sent), Age: age, Reader: reader, Serial: serial, Preferred: r.machine.Preferred()})
		if err != nil {
			return
		}
		r.lastEncoded = encodedUpdate{from: peer.sent, to: state.Position(), line: append(line, '\n')}
	}
	select {
	case peer.queue <- r.lastEncoded.line:
		peer.sent = state.Position()
	default:
		_ = peer.conn.Close()
		r.drop(peer)
	}
}

// stream is the stream from the followed node.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// streamMessage is an update from a stream, or reports that the stream is lost.
type streamMessage struct {
	stream *stream
	update update
	lost   bool
}

// follow closes the current stream and opens one from the given node, none for "".
func (r *Replicator) follow(ctx context.Context, address string) {
	if r.stream != nil {
		r.stream.cancel()
		r.stream = nil
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	next := &stream{address: address, cancel: cancel}
	r.stream = next
	go r.consume(ctx, next, r.machine.State().Position())
}

// consume reads a stream until it ends.
func (r *Replicator) consume(ctx context.Context, from *stream, position catalog.Position) {
	if err := r.readStream(ctx, from, position); err != nil && ctx.Err() == nil {
		r.submit(ctx, streamMessage{stream: from, lost: true})
	}
}

func (r *Replicator) readStream(ctx context.Context, from *stream, position catalog.Position) error {
	conn, err := r.dial(ctx, from.address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	encoder := json.NewEncoder(conn)
	if err := encoder.Encode(hello{From: r.config.Address, Position: position, Fast: r.config.Fast}); err != nil {
		return err
	}
	decoder := json.NewDecoder(conn)
	for {
		var received update
		if err := decoder.Decode(&received); err != nil {
			return err
		}
		r.submit(ctx, streamMessage{stream: from, update: received})
	}
}

// dialTimeoutShare bounds the time to open a stream, as a share of Config.Freshness. From then on
// the machine monitors the stream.
const dialTimeoutShare = 0.3

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

// hello opens a stream: the follower tells what it holds. An announcement only says that
// the other node is there.
type hello struct {
	From     string           `json:"from"` // address by which the sender is reached
	Held     catalog.Position `json:"held"`
	Announce bool             `json:"announce,omitempty"`
	Fast     bool             `json:"fast,omitempty"` // whether the sender's link is fast
	// Preferred are the nodes that the sender prefers for its zone.
	Preferred []string `json:"preferred,omitempty"`
}

// news is one line of a stream.
type news struct {
	Batch  catalog.Batch
	Age    time.Duration // since the store confirmed that nothing was newer
	Reader string        // address of the node to which it did
	Serial uint64        // of that node's question
	// Preferred are the nodes that are to read the store for the sender's zone.
	Preferred []string
}

// Bounds of streams.
const (
	maxHello      = 4 << 10
	helloTimeout  = 2 * time.Second
	writeTimeout  = 2 * time.Second
	followerQueue = 16 // lines that wait for one follower; beyond, its stream ends
	maxFollowers  = 256
)

// follower is a node that this one passes news on to.
type follower struct {
	address string // by which its node is reached
	conn    net.Conn
	lines   chan []byte
	sent    catalog.Position // what it holds once it has read what it was told
	dropped bool
}

type followerLost struct{ follower *follower }

// encodedNews is the last line, shared by all followers that hold the same.
type encodedNews struct {
	from, to catalog.Position
	line     []byte
}

// accept takes followers in until ctx ends.
func (r *Replicator) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(r.share(tickShare)) // out of descriptors, most likely
			continue
		}
		go r.greet(ctx, conn)
	}
}

// greet reads a follower's first line, then writes to it until it is lost.
func (r *Replicator) greet(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	reader := bufio.NewReaderSize(conn, maxHello)
	line, err := reader.ReadSlice('\n')
	var said hello
	if err != nil || json.Unmarshal(line, &said) != nil || net.ParseIP(said.From) == nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	r.submit(ctx, replication.PeerSeen{Address: said.From, Fast: said.Fast, Preferred: said.Preferred})
	if said.Announce {
		return
	}
	mine := &follower{address: said.From, conn: conn, lines: make(chan []byte, followerQueue), sent: said.Held}
	r.submit(ctx, mine)
	go r.watchEnd(ctx, mine, reader)
	for line := range mine.lines {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(line); err != nil {
			break
		}
	}
	r.submit(ctx, followerLost{mine})
}

// watchEnd notices that a follower has closed its stream.
func (r *Replicator) watchEnd(ctx context.Context, mine *follower, reader *bufio.Reader) {
	_, _ = reader.ReadByte()
	r.submit(ctx, followerLost{mine})
}

// admit takes a follower in and tells it at once what it lacks.
func (r *Replicator) admit(mine *follower) {
	if len(r.followers) >= maxFollowers {
		close(mine.lines)
		return
	}
	r.followers[mine] = struct{}{}
	r.tell(mine)
}

// lost ends the stream of a follower that is gone, and announces this node to its node: it
// may start again while the store is away.
func (r *Replicator) lost(ctx context.Context, mine *follower) {
	if _, held := r.followers[mine]; !held {
		return
	}
	r.drop(mine)
	r.announceLater(ctx, mine.address)
}

// drop ends a follower's stream.
func (r *Replicator) drop(mine *follower) {
	delete(r.followers, mine)
	if !mine.dropped {
		mine.dropped = true
		close(mine.lines)
	}
}

func (r *Replicator) closeAll() {
	for mine := range r.followers {
		r.drop(mine)
		_ = mine.conn.Close()
	}
	if r.stream != nil {
		r.stream.cancel()
	}
}

// beatIfDue tells followers how old this node's knowledge is.
func (r *Replicator) beatIfDue() {
	if time.Since(r.beat) >= r.share(beatShare) {
		r.tellFollowers()
	}
}

func (r *Replicator) tellFollowers() {
	r.beat = time.Now()
	r.encoded = encodedNews{}
	for mine := range r.followers {
		r.tell(mine)
	}
}

// tell sends a follower what it lacks and the age of it. One that does not
// take what it is sent is dropped: it will come back and say what it holds.
func (r *Replicator) tell(mine *follower) {
	state := r.machine.State()
	if r.encoded.line == nil || r.encoded.from != mine.sent || r.encoded.to != state.Position() {
		age, _ := r.machine.Age(r.config.Now())
		reader, serial := r.machine.ConfirmedBy()
		line, err := json.Marshal(news{Batch: state.Since(mine.sent), Age: age, Reader: reader, Serial: serial, Preferred: r.machine.Preferred()})
		if err != nil {
			return
		}
		r.encoded = encodedNews{from: mine.sent, to: state.Position(), line: append(line, '\n')}
	}
	select {
	case mine.lines <- r.encoded.line:
		mine.sent = state.Position()
	default:
		_ = mine.conn.Close()
		r.drop(mine)
	}
}

// stream is the node that is followed.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// streamMessage is what a stream brought, or that it is lost.
type streamMessage struct {
	stream *stream
	news   news
	lost   bool
}

// follow ends the stream before and opens the next, "" for none.
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

// consume reads one stream to its end.
func (r *Replicator) consume(ctx context.Context, from *stream, held catalog.Position) {
	if err := r.readStream(ctx, from, held); err != nil && ctx.Err() == nil {
		r.submit(ctx, streamMessage{stream: from, lost: true})
	}
}

func (r *Replicator) readStream(ctx context.Context, from *stream, held catalog.Position) error {
	conn, err := r.dial(ctx, from.address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	encoder := json.NewEncoder(conn)
	if err := encoder.Encode(hello{From: r.config.Address, Held: held, Fast: r.config.Fast}); err != nil {
		return err
	}
	decoder := json.NewDecoder(conn)
	for {
		var said news
		if err := decoder.Decode(&said); err != nil {
			return err
		}
		r.submit(ctx, streamMessage{stream: from, news: said})
	}
}

// silence bounds the time to open a stream; the machine watches it from then on.
const silence = 0.3

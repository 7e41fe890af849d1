package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"sliphead/internal/fault"
	"sliphead/internal/sleep"
	"sliphead/internal/wire"
)

const (
	streamsPerPeer = 2        // a third one closes the oldest
	maxRefusals    = 32       // refusals answered at once; beyond that streams are just closed
	refusalBytes   = 64 << 10 // read from a refused dialer so that it sees the answer
	acceptPause    = 20 * time.Millisecond
	tlsAlert       = "remote error" // the operation that crypto/tls names when the peer refused
	idleFactor     = 2              // a listener waits this many idle timeouts for the next line
)

// inboundStream is an open stream from a peer.
type inboundStream struct {
	conn net.Conn
}

// acceptStreams admits streams until ctx ends.
func (t *Transport) acceptStreams(ctx context.Context, listener net.Listener) error {
	refusals := make(chan struct{}, maxRefusals)
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				raw.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(err, fault.Internal, "restart the node", "the peer listener was closed")
		}
		if err != nil {
			t.limiter.log("transport.accept", t.address, err)
			sleep.For(ctx, acceptPause)
			continue
		}
		t.admit(&countedConn{Conn: raw, totals: &t.totals}, refusals)
	}
}

// admit serves a stream when there is a place and refuses it otherwise.
func (t *Transport) admit(conn *countedConn, refusals chan struct{}) {
	open := t.totals.streamsIn.Add(1)
	admitted := open <= int64(t.config.Limits.MaxStreams) && t.admission.Allow()
	if admitted {
		t.totals.streamsAccepted.Add(1)
		if !t.start(func(ctx context.Context) { t.serveStream(ctx, conn) }) {
			t.totals.streamsIn.Add(-1)
			conn.Close()
		}
		return
	}
	t.totals.streamsIn.Add(-1)
	t.totals.streamsRefused.Add(1)
	select {
	case refusals <- struct{}{}:
	default:
		conn.Close()
		return
	}
	started := t.start(func(ctx context.Context) {
		defer func() { <-refusals }()
		t.refuse(ctx, conn)
	})
	if !started {
		<-refusals
		conn.Close()
	}
}

// refuse answers Busy and reads a little, so that the answer is not lost to a
// reset.
func (t *Transport) refuse(ctx context.Context, raw *countedConn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(t.config.Limits.HandshakeTimeout))
	conn, _, err := t.credentials.server(ctx, raw)
	if err != nil {
		return
	}
	wait := t.jitter.around(t.config.Limits.RetryAfter)
	busy := &wire.Busy{RetryAfterMS: wait.Milliseconds(), Others: t.config.Others()}
	line, err := wire.Encode(wire.Envelope{From: t.config.Self().Name, Busy: busy})
	if err != nil {
		t.limiter.log("transport.encode", t.address, err)
		return
	}
	if _, err := conn.Write(line); err != nil {
		return
	}
	io.CopyN(io.Discard, conn, refusalBytes)
}

// serveStream reads one stream to its end.
func (t *Transport) serveStream(ctx context.Context, raw *countedConn) {
	defer t.totals.streamsIn.Add(-1)
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	err := t.readStream(ctx, raw)
	if ctx.Err() != nil || isQuietEnd(err) {
		return
	}
	t.totals.streamsClosedForFault.Add(1)
	t.limiter.log("transport.streamClosed", hostOf(raw.RemoteAddr().String()), err)
}

// isQuietEnd reports whether a stream ended as streams do: closed by the peer,
// replaced by a newer one, idle, or cut by the network.
func isQuietEnd(err error) bool {
	for _, quiet := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, quiet) {
			return true
		}
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op != tlsAlert
}

// readStream checks who is there and delivers message after message.
func (t *Transport) readStream(ctx context.Context, raw *countedConn) error {
	limits := &t.config.Limits
	raw.SetDeadline(time.Now().Add(limits.HandshakeTimeout))
	conn, proven, err := t.credentials.server(ctx, raw)
	if err != nil {
		return err
	}
	lines, err := newLineReader(conn, limits.MaxLineBytes, &t.longLines, raw.received.Load)
	if err != nil {
		return err
	}
	defer lines.release()
	name, err := t.readHello(lines, raw, proven)
	if err != nil {
		return err
	}
	stream := &inboundStream{conn: raw}
	t.register(name, stream)
	defer t.unregister(name, stream)
	messages := rate.NewLimiter(rate.Limit(limits.MessagesPerSecond), limits.MessageBurst)
	for {
		raw.SetDeadline(time.Now().Add(idleFactor * limits.IdleTimeout))
		if err := t.readMessage(lines, raw, name, messages); err != nil {
			return err
		}
	}
}

// readHello reads the first line and returns the peer's name. Under TLS the
// name must be one that the certificate proves.
func (t *Transport) readHello(lines *lineReader, raw *countedConn, proven []string) (string, error) {
	line, err := lines.next()
	if err != nil {
		return "", err
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return "", refused(causeGarbage, err)
	}
	if envelope.Hello == nil || envelope.Hello.Member.Name != envelope.From {
		return "", refused(causeForeign, fault.New(fault.Peer, garbageRemedy, "a stream from %q starts with no hello of its own", envelope.From))
	}
	if err := checkProven(envelope.From, proven); err != nil {
		return "", err
	}
	t.deliver(Received{Envelope: envelope, Remote: raw.RemoteAddr().String(), Bytes: len(line)})
	return envelope.From, nil
}

// readMessage reads, checks and delivers one message.
func (t *Transport) readMessage(lines *lineReader, raw *countedConn, name string, messages *rate.Limiter) error {
	line, err := lines.next()
	if err != nil {
		return err
	}
	if !messages.Allow() {
		return refused(causeRate, fault.New(fault.Peer, "find out why the peer sends so much; it may come back",
			"%q sends more than %v messages a second", name, t.config.Limits.MessagesPerSecond))
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return refused(causeGarbage, err)
	}
	if envelope.From != name {
		return refused(causeForeign, fault.New(fault.Peer, garbageRemedy, "a stream of %q carries a message in the name of %q", name, envelope.From))
	}
	if envelope.Hello != nil || envelope.Busy != nil {
		return refused(causeGarbage, fault.New(fault.Peer, garbageRemedy, "a stream of %q carries a %s message where none belongs", name, envelope.Kind()))
	}
	t.deliver(Received{Envelope: envelope, Remote: raw.RemoteAddr().String(), Bytes: len(line)})
	return nil
}

// checkProven refuses a name that the certificate does not prove. In plain mode
// proven is nil and any name goes.
func checkProven(name string, proven []string) error {
	if proven == nil || slices.Contains(proven, name) {
		return nil
	}
	return refused(causeAuthentication, fault.New(fault.Peer, "give the node a certificate whose DNS name is its own name",
		"a peer says that it is %q and its certificate says %q", name, proven))
}

// register notes an open stream. A peer that opens more than a few loses its
// oldest: it has most likely forgotten it.
func (t *Transport) register(name string, stream *inboundStream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	streams := append(t.inbound[name], stream)
	if len(streams) > streamsPerPeer {
		streams[0].conn.Close()
		streams = slices.Delete(streams, 0, 1)
	}
	t.inbound[name] = streams
}

// unregister forgets a stream.
func (t *Transport) unregister(name string, stream *inboundStream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	streams := t.inbound[name]
	if at := slices.Index(streams, stream); at >= 0 {
		streams = slices.Delete(streams, at, at+1)
	}
	if len(streams) == 0 {
		delete(t.inbound, name)
		return
	}
	t.inbound[name] = streams
}

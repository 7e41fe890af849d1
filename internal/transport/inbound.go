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
	streamsPerPeer       = 2        // another one closes the oldest
	maxBusyReplies       = 32       // concurrent Busy replies; further streams are closed without a reply
	maxRejectedReadBytes = 64 << 10 // maximum read from a rejected dialer, so that it receives the reply
	acceptPause          = 20 * time.Millisecond
	tlsAlertOp           = "remote error" // Op of the net.OpError that crypto/tls returns for an alert from the peer
	idleFactor           = 2              // a listener waits this many idle timeouts for the next line, so that the dialer closes first
)

// inboundStream is an open stream from a peer.
type inboundStream struct {
	conn net.Conn
}

// acceptStreams admits streams until ctx ends.
func (t *Transport) acceptStreams(ctx context.Context, listener net.Listener) error {
	busySlots := make(chan struct{}, maxBusyReplies)
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
		t.admit(&countedConn{Conn: raw, totals: &t.totals}, busySlots)
	}
}

// admit serves a stream within the limits on their number and rate. It replies Busy to
// any other stream, or closes it without a reply if no slot is free.
func (t *Transport) admit(conn *countedConn, busySlots chan struct{}) {
	open := t.totals.streamsIn.Add(1)
	admitted := open <= int64(t.config.Limits.MaxStreams) && t.admission.Allow()
	if admitted {
		t.totals.streamsAccepted.Add(1)
		if !t.startGoroutine(func(ctx context.Context) { t.serveStream(ctx, conn) }) {
			t.totals.streamsIn.Add(-1)
			conn.Close()
		}
		return
	}
	t.totals.streamsIn.Add(-1)
	t.totals.streamsRefused.Add(1)
	select {
	case busySlots <- struct{}{}:
	default:
		conn.Close()
		return
	}
	started := t.startGoroutine(func(ctx context.Context) {
		defer func() { <-busySlots }()
		t.replyBusy(ctx, conn)
	})
	if !started {
		<-busySlots
		conn.Close()
	}
}

// replyBusy replies with Busy. It then reads what the dialer has sent, because closing
// a connection with unread data would reset it and could lose the reply.
func (t *Transport) replyBusy(ctx context.Context, raw *countedConn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(t.config.Limits.HandshakeTimeout))
	conn, _, err := t.credentials.server(ctx, raw)
	if err != nil {
		return
	}
	wait := t.jitter.around(t.config.Limits.RetryAfter)
	busy := &wire.Busy{RetryAfterMS: wait.Milliseconds(), Others: t.config.AlternativePeers()}
	line, err := wire.Encode(wire.Envelope{From: t.config.Self().Name, Busy: busy})
	if err != nil {
		t.limiter.log("transport.encode", t.address, err)
		return
	}
	if _, err := conn.Write(line); err != nil {
		return
	}
	io.CopyN(io.Discard, conn, maxRejectedReadBytes)
}

// serveStream reads one stream until it ends and logs a protocol violation.
func (t *Transport) serveStream(ctx context.Context, raw *countedConn) {
	defer t.totals.streamsIn.Add(-1)
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	err := t.readStream(ctx, raw)
	if ctx.Err() != nil || isExpectedEnd(err) {
		return
	}
	t.totals.streamsClosedForFault.Add(1)
	t.limiter.log("transport.streamClosed", hostOf(raw.RemoteAddr().String()), err)
}

// isExpectedEnd reports whether a stream ended in an expected way: closed by the peer,
// replaced by a newer stream, idle, or cut by the network.
func isExpectedEnd(err error) bool {
	for _, expected := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, expected) {
			return true
		}
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op != tlsAlertOp
}

// readStream authenticates the peer and delivers its messages until the stream ends.
func (t *Transport) readStream(ctx context.Context, raw *countedConn) error {
	limits := &t.config.Limits
	raw.SetDeadline(time.Now().Add(limits.HandshakeTimeout))
	conn, verifiedNames, err := t.credentials.server(ctx, raw)
	if err != nil {
		return err
	}
	lines, err := newLineReader(conn, limits.MaxLineBytes, &t.longLineBudget, raw.received.Load)
	if err != nil {
		return err
	}
	defer lines.release()
	name, err := t.readHello(lines, raw, verifiedNames)
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

// readHello reads the first line and returns the peer's name. Unless in plain mode,
// the name must be in the peer's certificate.
func (t *Transport) readHello(lines *lineReader, raw *countedConn, verifiedNames []string) (string, error) {
	line, err := lines.next()
	if err != nil {
		return "", err
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return "", withCause(causeGarbage, err)
	}
	if envelope.Hello == nil || envelope.Hello.Member.Name != envelope.From {
		return "", withCause(causeForeign, fault.New(fault.Peer, protocolRemedy, "a stream from %q does not start with a hello of its own", envelope.From))
	}
	if err := checkPeerName(envelope.From, verifiedNames); err != nil {
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
		return withCause(causeRate, fault.New(fault.Peer, "find out why the peer sends so many messages; it may reconnect",
			"%q sends more than %v messages per second", name, t.config.Limits.MessagesPerSecond))
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return withCause(causeGarbage, err)
	}
	if envelope.From != name {
		return withCause(causeForeign, fault.New(fault.Peer, protocolRemedy, "a stream of %q carries a message from %q", name, envelope.From))
	}
	if envelope.Hello != nil || envelope.Busy != nil {
		return withCause(causeGarbage, fault.New(fault.Peer, protocolRemedy, "a stream of %q carries a %s message, which is not allowed there", name, envelope.Kind()))
	}
	t.deliver(Received{Envelope: envelope, Remote: raw.RemoteAddr().String(), Bytes: len(line)})
	return nil
}

// checkPeerName returns an error if a peer's name is not in its certificate. In plain
// mode verifiedNames is nil and any name is accepted.
func checkPeerName(name string, verifiedNames []string) error {
	if verifiedNames == nil || slices.Contains(verifiedNames, name) {
		return nil
	}
	return withCause(causeAuthentication, fault.New(fault.Peer, "give the node a certificate whose DNS name is its own name",
		"a peer uses the name %q, its certificate is for %q", name, verifiedNames))
}

// register records an open stream. When a peer has more than streamsPerPeer, its
// oldest stream is closed: the peer has most likely abandoned it.
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

// unregister removes a stream.
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

package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/sleep"
	"sliphead/internal/wire"
)

const (
	tries        = 3               // failed tries in a row after which a queue is given up
	stableAfter  = 2 * time.Second // a stream that lasted this long ends a row of failures
	maxBusyWait  = time.Minute     // the longest wait that a Busy can ask for
	maxBusyBytes = keepBytes       // the longest Busy line
	answerBytes  = 512             // a dialer's read buffer
)

const unreachableRemedy = "check that the peer runs and that the network lets its peer address through; tries go on by themselves"

// link is the outgoing side towards one address: a bounded queue, and while
// there is something to send a goroutine with a stream. Its fields belong to
// the transport's mutex.
type link struct {
	transport *Transport
	address   string
	queue     []queued
	bytes     int
	running   bool
	wake      chan struct{} // tells the goroutine that the queue has grown
	failures  int           // in a row
	notBefore time.Time     // no dial before this time
}

// queued is a line that waits to be sent.
type queued struct {
	line  []byte
	since time.Time
}

// newLink returns a link without a stream.
func newLink(transport *Transport, address string) *link {
	return &link{transport: transport, address: address, wake: make(chan struct{}, 1)}
}

// queueLocked adds a line, dropping the oldest ones beyond the bounds, and
// makes sure that a goroutine sends it.
func (l *link) queueLocked(line []byte) {
	limits := &l.transport.config.Limits
	l.queue = append(l.queue, queued{line: line, since: time.Now()})
	l.bytes += len(line)
	for len(l.queue) > 1 && (len(l.queue) > limits.QueueMessages || l.bytes > limits.QueueBytes) {
		l.dropOldestLocked()
	}
	if !l.running {
		l.running = l.transport.startLocked(l.run)
	}
	if !l.running {
		l.discardLocked()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// dropOldestLocked drops one line.
func (l *link) dropOldestLocked() {
	l.bytes -= len(l.queue[0].line)
	l.queue[0] = queued{}
	l.queue = l.queue[1:]
	l.transport.totals.dropped.Add(1)
}

// expireLocked drops the lines that waited too long.
func (l *link) expireLocked() {
	oldest := time.Now().Add(-l.transport.config.Limits.QueueAge)
	for len(l.queue) > 0 && l.queue[0].since.Before(oldest) {
		l.dropOldestLocked()
	}
}

// discardLocked drops the queue.
func (l *link) discardLocked() {
	l.transport.totals.dropped.Add(uint64(len(l.queue)))
	l.queue, l.bytes = nil, 0
}

// take empties the queue.
func (l *link) take() [][]byte {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	l.expireLocked()
	lines := make([][]byte, 0, len(l.queue))
	for _, waiting := range l.queue {
		lines = append(lines, waiting.line)
	}
	l.queue, l.bytes = nil, 0
	return lines
}

// run keeps a stream while there is something to send.
func (l *link) run(ctx context.Context) {
	for sleep.For(ctx, l.untilAllowed()) {
		started := time.Now()
		err := l.session(ctx)
		if l.finished(err, time.Since(started)) {
			return
		}
	}
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	l.discardLocked()
	l.running = false
}

// untilAllowed returns the wait before the next dial.
func (l *link) untilAllowed() time.Duration {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	return time.Until(l.notBefore)
}

// finished takes in how a session ended and reports whether the goroutine may
// end. It then has marked the link as not running.
func (l *link) finished(err error, lasted time.Duration) bool {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	if err == nil || lasted >= stableAfter {
		l.failures = 0
	}
	if err != nil {
		l.failedLocked(err)
	}
	l.expireLocked()
	if len(l.queue) > 0 {
		return false
	}
	l.running = false
	if err == nil {
		delete(l.transport.links, l.address)
	}
	return true
}

// failedLocked sets the backoff, and gives the queue up after some tries.
func (l *link) failedLocked(err error) {
	limits := &l.transport.config.Limits
	l.failures++
	wait := l.transport.jitter.backoff(limits.BackoffBase, limits.BackoffMax, l.failures)
	var busy *busyError
	if errors.As(err, &busy) {
		wait = busy.wait
	} else if l.failures >= tries {
		l.discardLocked()
		l.transport.limiter.log("transport.unreachable", l.address, err)
	}
	l.notBefore = time.Now().Add(wait)
}

// session opens a stream and writes the queue until the stream has been idle
// for long, and then returns nil, or until it fails.
func (l *link) session(ctx context.Context) error {
	conn, proven, err := l.transport.dial(ctx, l.address)
	if err != nil {
		return fault.Wrap(err, fault.Peer, unreachableRemedy, "open a stream to %s", l.address)
	}
	defer conn.Close()
	l.transport.totals.streamsOut.Add(1)
	defer l.transport.totals.streamsOut.Add(-1)
	ended := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		ended <- l.transport.readAnswer(conn, proven)
		conn.Close()
	}()
	err = l.write(ctx, conn, ended)
	conn.Close()
	<-answered
	return l.cause(err, ended)
}

// cause prefers what the listener answered to the failed write it led to.
func (l *link) cause(err error, ended <-chan error) error {
	if err == nil {
		return nil
	}
	if answer := <-ended; !errors.Is(answer, net.ErrClosed) {
		return answer
	}
	return err
}

// write sends Hello and then the queue.
func (l *link) write(ctx context.Context, conn net.Conn, ended chan error) error {
	limits := &l.transport.config.Limits
	lines := newLineWriter(conn, l.transport.config.Compression)
	self := l.transport.config.Self()
	hello, err := wire.Encode(wire.Envelope{From: self.Name, Hello: &wire.Hello{Member: self}})
	if err != nil {
		return err
	}
	batch := append([][]byte{hello}, l.take()...)
	idle := time.NewTimer(limits.IdleTimeout)
	defer idle.Stop()
	for first := true; ; first = false {
		conn.SetWriteDeadline(time.Now().Add(limits.WriteTimeout))
		if err := lines.writeLines(batch); err != nil {
			l.transport.totals.dropped.Add(uint64(len(batch)))
			return err
		}
		l.transport.totals.messagesSent.Add(uint64(len(batch)))
		if first {
			l.transport.limiter.settled("transport.unreachable", l.address)
		}
		if batch, err = l.next(ctx, idle, ended); len(batch) == 0 {
			return err
		}
	}
}

// next waits for queued messages. It returns none, and no error, once the link
// has been idle for its timeout.
func (l *link) next(ctx context.Context, idle *time.Timer, ended chan error) ([][]byte, error) {
	for {
		if batch := l.take(); len(batch) > 0 {
			return batch, nil
		}
		idle.Reset(l.transport.config.Limits.IdleTimeout)
		select {
		case <-l.wake:
		case <-idle.C:
			return nil, nil
		case err := <-ended:
			ended <- err
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial connects, and under TLS proves both sides. It returns the names that the
// listener's certificate proves. Host names are refused: a register made up by
// a peer must not start look-ups.
func (t *Transport) dial(ctx context.Context, address string) (net.Conn, []string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, nil, fault.Wrap(err, fault.Peer, "advertise an IP and a port", "the peer address %q is wrong", address)
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.Limits.HandshakeTimeout)
	defer cancel()
	raw, err := t.config.Network.Dial(ctx, t.localIP, address)
	if err != nil {
		return nil, nil, err
	}
	conn, proven, err := t.credentials.client(ctx, &countedConn{Conn: raw, totals: &t.totals})
	if err != nil {
		raw.Close()
		return nil, nil, err
	}
	t.totals.streamsOpened.Add(1)
	return conn, proven, nil
}

// busyError is a listener's refusal with the wait that it asked for.
type busyError struct {
	wait time.Duration
}

// Error implements the error interface.
func (b *busyError) Error() string { return "the peer is busy for " + b.wait.String() }

// readAnswer reads until the listener closes the stream. A listener sends
// nothing but, at most, one Busy in plain JSON.
func (t *Transport) readAnswer(conn net.Conn, proven []string) error {
	answer := &lineReader{buffered: bufio.NewReaderSize(conn, answerBytes), maximum: maxBusyBytes}
	line, err := answer.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return fault.Wrap(err, fault.Peer, unreachableRemedy, "the peer closed the stream")
		}
		return err
	}
	envelope, err := wire.Decode(line)
	if err != nil {
		return err
	}
	if envelope.Busy == nil {
		return refused(causeGarbage, fault.New(fault.Peer, garbageRemedy, "a listener sent a %s message, which only a dialer may", envelope.Kind()))
	}
	if err := checkProven(envelope.From, proven); err != nil {
		return err
	}
	t.totals.streamsBusy.Add(1)
	wait := min(max(time.Duration(envelope.Busy.RetryAfterMS)*time.Millisecond, 0), maxBusyWait)
	t.deliver(Received{Envelope: envelope, Remote: conn.RemoteAddr().String(), Bytes: len(line)})
	return &busyError{wait: wait}
}

// deliver hands a message to the owner.
func (t *Transport) deliver(received Received) {
	t.totals.messagesReceived.Add(1)
	t.config.Deliver(received)
}

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
	maxConsecutiveFailures = 3                // consecutive failures after which the queue is discarded
	stableAfter            = 2 * time.Second  // a stream that lasted this long resets the count of failures
	maxBusyWait            = time.Minute      // upper bound of the wait that a Busy message requests
	maxBusyBytes           = maxRetainedBytes // maximum length of a Busy line
	replyBufferBytes       = 512              // size of a dialer's read buffer
)

const unreachableRemedy = "check that the peer runs and that its peer address is reachable; connection attempts continue automatically"

// link is the outbound connection to one address: a bounded queue and, while there
// are messages to send, a goroutine with a stream. Its mutable fields are guarded
// by the transport's mutex.
type link struct {
	transport *Transport
	address   string
	queue     []queuedLine
	bytes     int           // total length of the queued lines
	running   bool          // whether the goroutine runs
	wake      chan struct{} // signals the goroutine that the queue has grown
	failures  int           // consecutive failed sessions
	nextDial  time.Time     // earliest time of the next dial
}

// queuedLine is a line waiting to be sent.
type queuedLine struct {
	line     []byte
	queuedAt time.Time
}

// newLink returns a link without a stream.
func newLink(transport *Transport, address string) *link {
	return &link{transport: transport, address: address, wake: make(chan struct{}, 1)}
}

// enqueueLocked appends a line, drops the oldest lines beyond the limits, and starts
// or wakes the goroutine that sends them. A single line is queued whatever its size.
func (l *link) enqueueLocked(line []byte) {
	limits := &l.transport.config.Limits
	l.queue = append(l.queue, queuedLine{line: line, queuedAt: time.Now()})
	l.bytes += len(line)
	for len(l.queue) > 1 && (len(l.queue) > limits.QueueMessages || l.bytes > limits.QueueBytes) {
		l.dropOldestLocked()
	}
	if !l.running {
		l.running = l.transport.startGoroutineLocked(l.run)
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

// dropOldestLocked drops and counts the oldest line.
func (l *link) dropOldestLocked() {
	l.bytes -= len(l.queue[0].line)
	l.queue[0] = queuedLine{}
	l.queue = l.queue[1:]
	l.transport.totals.dropped.Add(1)
}

// expireLocked drops the lines that have waited longer than QueueAge.
func (l *link) expireLocked() {
	oldest := time.Now().Add(-l.transport.config.Limits.QueueAge)
	for len(l.queue) > 0 && l.queue[0].queuedAt.Before(oldest) {
		l.dropOldestLocked()
	}
}

// discardLocked drops and counts all queued lines.
func (l *link) discardLocked() {
	l.transport.totals.dropped.Add(uint64(len(l.queue)))
	l.queue, l.bytes = nil, 0
}

// takeQueue removes and returns the queued lines that have not expired.
func (l *link) takeQueue() [][]byte {
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

// run opens streams and sends the queue until it is empty or ctx ends.
func (l *link) run(ctx context.Context) {
	for sleep.For(ctx, l.dialDelay()) {
		started := time.Now()
		err := l.session(ctx)
		if l.endSession(err, time.Since(started)) {
			return
		}
	}
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	l.discardLocked()
	l.running = false
}

// dialDelay returns the delay before the next dial.
func (l *link) dialDelay() time.Duration {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	return time.Until(l.nextDial)
}

// endSession records the result of a session. When no lines are queued, it marks the
// link as not running and returns true: the goroutine must end.
func (l *link) endSession(err error, lasted time.Duration) bool {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	if err == nil || lasted >= stableAfter {
		l.failures = 0
	}
	if err != nil {
		l.recordFailureLocked(err)
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

// recordFailureLocked sets the time of the next dial. After several consecutive failures
// it discards the queue, unless the peer replied that it is busy.
func (l *link) recordFailureLocked(err error) {
	limits := &l.transport.config.Limits
	l.failures++
	wait := l.transport.jitter.backoff(limits.BackoffBase, limits.BackoffMax, l.failures)
	var busy *busyError
	if errors.As(err, &busy) {
		wait = busy.wait
	} else if l.failures >= maxConsecutiveFailures {
		l.discardLocked()
		l.transport.limiter.log("transport.unreachable", l.address, err)
	}
	l.nextDial = time.Now().Add(wait)
}

// session opens a stream and writes the queue. It returns nil after the stream has
// been idle for IdleTimeout, and an error when the stream fails.
func (l *link) session(ctx context.Context) error {
	conn, verifiedNames, err := l.transport.dial(ctx, l.address)
	if err != nil {
		return fault.Wrap(err, fault.Peer, unreachableRemedy, "open a stream to %s", l.address)
	}
	defer conn.Close()
	l.transport.totals.streamsOut.Add(1)
	defer l.transport.totals.streamsOut.Add(-1)
	ended := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		ended <- l.transport.readReply(conn, verifiedNames)
		conn.Close()
	}()
	err = l.write(ctx, conn, ended)
	conn.Close()
	<-readerDone
	return l.sessionError(err, ended)
}

// sessionError returns the error of a session. A reply of the listener takes precedence
// over the write error that it caused.
func (l *link) sessionError(err error, ended <-chan error) error {
	if err == nil {
		return nil
	}
	if readErr := <-ended; !errors.Is(readErr, net.ErrClosed) {
		return readErr
	}
	return err
}

// write sends Hello and then the queued lines.
func (l *link) write(ctx context.Context, conn net.Conn, ended chan error) error {
	limits := &l.transport.config.Limits
	lines := newLineWriter(conn, l.transport.config.Compression)
	self := l.transport.config.Self()
	hello, err := wire.Encode(wire.Envelope{From: self.Name, Hello: &wire.Hello{Member: self}})
	if err != nil {
		return err
	}
	batch := append([][]byte{hello}, l.takeQueue()...)
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
			l.transport.limiter.resolve("transport.unreachable", l.address)
		}
		if batch, err = l.nextBatch(ctx, idle, ended); len(batch) == 0 {
			return err
		}
	}
}

// nextBatch waits for queued lines and returns them. It returns no lines and a nil error
// after IdleTimeout without any.
func (l *link) nextBatch(ctx context.Context, idle *time.Timer, ended chan error) ([][]byte, error) {
	for {
		if batch := l.takeQueue(); len(batch) > 0 {
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

// dial connects to address and, unless in plain mode, authenticates both sides. It
// returns the names in the listener's certificate, nil in plain mode. Host names
// are rejected, because an address forged by a peer must not cause DNS look-ups.
func (t *Transport) dial(ctx context.Context, address string) (net.Conn, []string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, nil, fault.Wrap(err, fault.Peer, "advertise an IP and a port", "the peer address %q is not an IP and a port", address)
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.Limits.HandshakeTimeout)
	defer cancel()
	raw, err := t.config.Network.Dial(ctx, t.localIP, address)
	if err != nil {
		return nil, nil, err
	}
	conn, verifiedNames, err := t.credentials.client(ctx, &countedConn{Conn: raw, totals: &t.totals})
	if err != nil {
		raw.Close()
		return nil, nil, err
	}
	t.totals.streamsOpened.Add(1)
	return conn, verifiedNames, nil
}

// busyError is a listener's Busy reply with the wait that it requested.
type busyError struct {
	wait time.Duration
}

// Error implements the error interface.
func (b *busyError) Error() string { return "the peer is busy and asks to wait for " + b.wait.String() }

// readReply reads until the listener closes the stream and returns the reason as
// an error. A listener sends at most one message, a Busy in uncompressed JSON.
func (t *Transport) readReply(conn net.Conn, verifiedNames []string) error {
	reader := &lineReader{buffered: bufio.NewReaderSize(conn, replyBufferBytes), maximum: maxBusyBytes}
	line, err := reader.next()
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
		return withCause(causeGarbage, fault.New(fault.Peer, protocolRemedy, "a listener sent a %s message, which only a dialer may send", envelope.Kind()))
	}
	if err := checkPeerName(envelope.From, verifiedNames); err != nil {
		return err
	}
	t.totals.streamsBusy.Add(1)
	wait := min(max(time.Duration(envelope.Busy.RetryAfterMS)*time.Millisecond, 0), maxBusyWait)
	t.deliver(Received{Envelope: envelope, Remote: conn.RemoteAddr().String(), Bytes: len(line)})
	return &busyError{wait: wait}
}

// deliver counts a message and passes it to Config.Deliver.
func (t *Transport) deliver(received Received) {
	t.totals.messagesReceived.Add(1)
	t.config.Deliver(received)
}

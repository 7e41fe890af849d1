package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"sliphead/internal/sleep"
)

const (
	chunkBytes  = 32 << 10 // read at a time
	chunkQueue  = 64       // chunks on their way in one direction
	dialTimeout = 5 * time.Second
)

// stream is one forwarded connection.
type stream struct {
	network *Network
	pair    Pair
	near    *net.TCPConn // to the one who dialled
	far     *net.TCPConn // to the real address
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	closed  bool
}

// chunk is a piece of a stream on its way; empty at the end of the stream.
type chunk struct {
	arrived time.Time
	data    []byte
}

// Streams forwards connections made to advertised on to real, whose zone is
// given.
func (n *Network) Streams(advertised, real, zone string) error {
	listener, err := net.Listen("tcp", advertised)
	if err != nil {
		return listenFailed(err, advertised)
	}
	n.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forward(connection.(*net.TCPConn), real, zone)
		}
	}()
	return nil
}

func (n *Network) forward(near *net.TCPConn, real, zone string) {
	source := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	pair := Pair{From: n.zoneOf(source), To: zone}
	ctx, cancel := context.WithCancel(context.Background())
	connected := &stream{network: n, pair: pair, near: near, ctx: ctx, cancel: cancel}
	if !n.register(connected) {
		connected.close()
		return
	}
	defer n.unregister(connected)
	defer connected.close()
	if !n.pass(ctx, pair, time.Now()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}} // the receiver sees the true sender
	far, err := dialer.DialContext(ctx, "tcp", real)
	if err != nil {
		_ = near.SetLinger(0) // the caller sees a reset, as from a host without that listener
		return
	}
	if !connected.join(far.(*net.TCPConn)) {
		return
	}
	n.counters.streams.Add(1)
	connected.run(pair)
}

func (n *Network) register(connected *stream) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.connected[connected] = struct{}{}
	return !n.closed
}

func (n *Network) unregister(connected *stream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.connected, connected)
}

// run carries both directions until both have ended or one has failed.
func (s *stream) run(pair Pair) {
	back := Pair{From: pair.To, To: pair.From}
	var directions sync.WaitGroup
	directions.Go(func() { s.carry(s.near, s.far, pair) })
	directions.Go(func() { s.carry(s.far, s.near, back) })
	directions.Wait()
}

// join sets the far side and reports whether the stream is still open.
func (s *stream) join(far *net.TCPConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = far.Close()
		return false
	}
	s.far = far
	return true
}

func (s *stream) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.cancel()
	_ = s.near.Close()
	if s.far != nil {
		_ = s.far.Close()
	}
}

// carry moves one direction. Its end is passed on as a half close; a failure
// ends the whole stream.
func (s *stream) carry(from, to *net.TCPConn, pair Pair) {
	queue := make(chan chunk, chunkQueue)
	var reading sync.WaitGroup
	reading.Go(func() { s.read(from, queue) })
	s.write(to, queue, pair)
	reading.Wait()
}

func (s *stream) read(from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 && !s.enqueue(queue, chunk{arrived: time.Now(), data: buffer[:count]}) {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			s.enqueue(queue, chunk{arrived: time.Now()})
			return
		}
		s.reset()
		return
	}
}

func (s *stream) enqueue(queue chan<- chunk, piece chunk) bool {
	select {
	case queue <- piece:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *stream) write(to *net.TCPConn, queue <-chan chunk, pair Pair) {
	for piece := range queue {
		if !s.network.pass(s.ctx, pair, piece.arrived) {
			continue
		}
		if len(piece.data) == 0 {
			_ = to.CloseWrite()
			continue
		}
		s.network.counters.streamBytes.Add(int64(len(piece.data)))
		if _, err := to.Write(piece.data); err != nil {
			s.reset()
		}
	}
}

// reset ends both sides at once, as a lost connection does.
func (s *stream) reset() {
	_ = s.near.SetLinger(0)
	if s.far != nil {
		_ = s.far.SetLinger(0)
	}
	s.close()
}

// pass waits until what arrived then may be delivered: after the delay, and
// once the pair is not cut. It reports false when the context has ended.
func (n *Network) pass(ctx context.Context, pair Pair, arrived time.Time) bool {
	for {
		conditions, changed := n.watch(pair)
		if conditions.Cut {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		return sleep.For(ctx, time.Until(arrived.Add(conditions.Delay)))
	}
}

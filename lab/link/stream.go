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
	chunkBytes  = 32 << 10 // maximum size of a chunk
	chunkQueue  = 64       // delayed chunks in one direction
	dialTimeout = 5 * time.Second
)

// stream is one forwarded connection.
type stream struct {
	network *Network
	pair    Pair
	client  *net.TCPConn // connection from the caller
	server  *net.TCPConn // connection to the real address
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	closed  bool
}

// chunk is a part of a stream that waits for its delivery. An empty chunk marks the
// end of the stream.
type chunk struct {
	arrived time.Time
	data    []byte
}

// Streams forwards connections from the address advertised to the address real,
// which is in the given zone.
func (n *Network) Streams(advertised, real, zone string) error {
	listener, err := net.Listen("tcp", advertised)
	if err != nil {
		return listenError(err, advertised)
	}
	n.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forwardStream(connection.(*net.TCPConn), real, zone)
		}
	}()
	return nil
}

func (n *Network) forwardStream(client *net.TCPConn, real, zone string) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	pair := Pair{From: n.zoneOf(source), To: zone}
	ctx, cancel := context.WithCancel(context.Background())
	forwarded := &stream{network: n, pair: pair, client: client, ctx: ctx, cancel: cancel}
	if !n.register(forwarded) {
		forwarded.close()
		return
	}
	defer n.unregister(forwarded)
	defer forwarded.close()
	if !n.waitForDelivery(ctx, pair, time.Now()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}} // so that the server sees the caller's IP address
	server, err := dialer.DialContext(ctx, "tcp", real)
	if err != nil {
		_ = client.SetLinger(0) // reset the connection, as a host without a listener does
		return
	}
	if !forwarded.attachServer(server.(*net.TCPConn)) {
		return
	}
	n.counters.streams.Add(1)
	forwarded.copyBothWays(pair)
}

func (n *Network) register(added *stream) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.streams[added] = struct{}{}
	return !n.closed
}

func (n *Network) unregister(removed *stream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.streams, removed)
}

// copyBothWays copies both directions until both have ended or one has failed.
func (s *stream) copyBothWays(pair Pair) {
	back := Pair{From: pair.To, To: pair.From}
	var directions sync.WaitGroup
	directions.Go(func() { s.copyOneWay(s.client, s.server, pair) })
	directions.Go(func() { s.copyOneWay(s.server, s.client, back) })
	directions.Wait()
}

// attachServer sets the connection to the server and reports whether the stream is
// still open. If not, it closes the connection.
func (s *stream) attachServer(server *net.TCPConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = server.Close()
		return false
	}
	s.server = server
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
	_ = s.client.Close()
	if s.server != nil {
		_ = s.server.Close()
	}
}

// copyOneWay copies one direction. The end of the stream is forwarded as a half
// close; a failure resets the whole stream.
func (s *stream) copyOneWay(from, to *net.TCPConn, pair Pair) {
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
		if !s.network.waitForDelivery(s.ctx, pair, piece.arrived) {
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

// reset closes both connections with a TCP reset, as when a connection is lost.
func (s *stream) reset() {
	_ = s.client.SetLinger(0)
	if s.server != nil {
		_ = s.server.SetLinger(0)
	}
	s.close()
}

// waitForDelivery waits until data that arrived at a given time may be delivered:
// when the delay has passed and the pair is not cut. It returns false if the
// context ends first.
func (n *Network) waitForDelivery(ctx context.Context, pair Pair, arrived time.Time) bool {
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

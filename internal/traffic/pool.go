package traffic

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// pool holds connections on which the goroutine of a request makes its own
// round trip. The transport of net/http hands each request to two other
// goroutines and back; on a busy machine each hand-over waits for a processor.
// Bodies that stream still go by a transport, which can read an answer while
// the body is sent.
type pool struct {
	dial  DialFunc // gives *sealedConn
	bound int      // connections in all
	idle  int      // idle connections kept to each address

	mutex  sync.Mutex
	open   int
	closed bool
	kept   map[string][]*pooledConn // idle, the latest used last
	rests  map[string]restLimit     // by address
	swept  time.Time
}

// idleLife is how long an idle connection is kept: less than the other side
// does, so that it is seldom the other side that closes it.
const idleLife = defaultIdleTimeout / 2

// errPoolFull says that all connections are in use.
var errPoolFull = errors.New("all connections are in use")

func newPool(dial DialFunc, bound, idle int) *pool {
	return &pool{dial: dial, bound: bound, idle: idle, kept: map[string][]*pooledConn{}}
}

// take returns an idle connection that is still open, or opens one within a time,
// 0 for that of the pool's dialer.
func (p *pool) take(ctx context.Context, address string, within time.Duration) (*pooledConn, error) {
	if within > 0 {
		bounded, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		ctx = bounded
	}
	for {
		conn := p.pop(address)
		if conn == nil {
			return p.connect(ctx, address)
		}
		now := time.Now()
		conn.rested = now.Sub(conn.idleSince)
		if conn.mayBeIdle(conn.rested) && p.remembered(address, conn.rested, now) && conn.quiet() {
			conn.heard = conn.received.Load()
			conn.taken = now
			return conn, nil
		}
		conn.close()
	}
}

// pop removes the latest used idle connection, nil if there is none.
func (p *pool) pop(address string) *pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.kept[address]
	if len(kept) == 0 {
		return nil
	}
	last := len(kept) - 1
	conn := kept[last]
	kept[last] = nil
	p.kept[address] = kept[:last]
	return conn
}

func (p *pool) connect(ctx context.Context, address string) (*pooledConn, error) {
	if !p.reserve() {
		return nil, errPoolFull
	}
	dialed, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.release()
		return nil, err
	}
	conn := &pooledConn{sealedConn: dialed.(*sealedConn), pool: p, address: address}
	conn.probe.prepare(conn.Conn)
	conn.interrupter = conn.interrupt
	conn.reader = bufio.NewReaderSize(limitedReader{conn}, bufferSize)
	conn.writer = bufio.NewWriterSize(conn.sealedConn, bufferSize)
	return conn, nil
}

func (p *pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open >= p.bound {
		return false
	}
	p.open++
	return true
}

func (p *pool) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
}

// put keeps a connection for the next request.
func (p *pool) put(conn *pooledConn) {
	conn.idleSince = time.Now()
	if !p.keep(conn) {
		conn.close()
	}
	for _, old := range p.sweep(conn.idleSince) {
		old.close()
	}
}

func (p *pool) keep(conn *pooledConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.kept[conn.address]
	if p.closed || len(kept) >= p.idle {
		return false
	}
	p.kept[conn.address] = append(kept, conn)
	return true
}

// sweep removes the connections of all addresses that have been idle for long.
func (p *pool) sweep(now time.Time) []*pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Sub(p.swept) < idleLife/2 {
		return nil
	}
	p.swept = now
	return p.removeIdle(now.Add(-idleLife))
}

// distrust closes the idle connections to an address that were last used before a time:
// one like them was silent, and new ones may work.
func (p *pool) distrust(address string, before time.Time) {
	p.mutex.Lock()
	kept := p.kept[address]
	old := 0
	for old < len(kept) && kept[old].idleSince.Before(before) {
		old++
	}
	doubted := slices.Clone(kept[:old])
	p.kept[address] = slices.Clone(kept[old:])
	p.mutex.Unlock()
	for _, conn := range doubted {
		conn.close()
	}
}

// removeIdle removes the connections that have been idle since before a time.
// Those of an address are in the order of their last use.
func (p *pool) removeIdle(before time.Time) []*pooledConn {
	var removed []*pooledConn
	for address, kept := range p.kept {
		old := 0
		for old < len(kept) && kept[old].idleSince.Before(before) {
			old++
		}
		removed = append(removed, kept[:old]...)
		if old == len(kept) {
			delete(p.kept, address)
		} else if old > 0 {
			p.kept[address] = append([]*pooledConn(nil), kept[old:]...)
		}
	}
	return removed
}

// close closes the idle connections, and those in use once they are idle.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	removed := p.removeIdle(time.Now().Add(idleLife))
	p.mutex.Unlock()
	for _, conn := range removed {
		conn.close()
	}
}

package traffic

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// pool manages connections on which the goroutine of a request performs its own round trip.
// The transport of net/http hands each request to two other goroutines and back, and on a busy
// machine each hand-over waits for a processor. Without a catalog, long and streamed bodies
// still use a transport.
type pool struct {
	dial    DialFunc // returns *sealedConn
	maxOpen int      // maximum number of connections
	maxIdle int      // maximum number of idle connections per address

	mutex         sync.Mutex
	open          int
	closed        bool
	idleByAddress map[string][]*pooledConn // least recently used first
	idleLimits    map[string]idleLimit     // by address
	lastSweep     time.Time
}

// maxIdleTime is the time for which an idle connection is retained. It is shorter than the
// idle timeout of the other side, so that the other side seldom closes the connection first.
const maxIdleTime = defaultIdleTimeout / 2

// errPoolFull reports that all connections are in use.
var errPoolFull = errors.New("all connections are in use")

func newPool(dial DialFunc, bound, idle int) *pool {
	return &pool{dial: dial, maxOpen: bound, maxIdle: idle, idleByAddress: map[string][]*pooledConn{}}
}

// take returns an idle connection that is still usable, or opens one within the timeout; 0
// stands for the timeout of the pool's dialer.
func (p *pool) take(ctx context.Context, address string, timeout time.Duration) (*pooledConn, error) {
	if timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	for {
		conn := p.pop(address)
		if conn == nil {
			return p.connect(ctx, address)
		}
		now := time.Now()
		conn.idleFor = now.Sub(conn.idleSince)
		if conn.withinPeerIdleTimeout(conn.idleFor) && p.withinIdleLimit(address, conn.idleFor, now) && conn.isUsable() {
			conn.receivedBefore = conn.received.Load()
			conn.takenAt = now
			return conn, nil
		}
		conn.close()
	}
}

// pop removes the most recently used idle connection, nil if there is none.
func (p *pool) pop(address string) *pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idleByAddress[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	idle[last] = nil
	p.idleByAddress[address] = idle[:last]
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
	conn.reader = bufio.NewReaderSize(conn.sealedConn, bufferSize)
	conn.writer = bufio.NewWriterSize(conn.sealedConn, bufferSize)
	return conn, nil
}

func (p *pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open >= p.maxOpen {
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

// put returns a connection to the pool for the next request.
func (p *pool) put(conn *pooledConn) {
	conn.idleSince = time.Now()
	if !p.putIdle(conn) {
		conn.close()
	}
	for _, old := range p.sweep(conn.idleSince) {
		old.close()
	}
}

func (p *pool) putIdle(conn *pooledConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idleByAddress[conn.address]
	if p.closed || len(idle) >= p.maxIdle {
		return false
	}
	p.idleByAddress[conn.address] = append(idle, conn)
	return true
}

// sweep removes the connections of all addresses that have been idle for longer than
// maxIdleTime.
func (p *pool) sweep(now time.Time) []*pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Sub(p.lastSweep) < maxIdleTime/2 {
		return nil
	}
	p.lastSweep = now
	return p.removeIdle(now.Add(-maxIdleTime))
}

// closeIdleBefore closes the idle connections to an address that were last used before a time.
// It is called after such a connection was unresponsive; new connections may work.
func (p *pool) closeIdleBefore(address string, before time.Time) {
	p.mutex.Lock()
	idle := p.idleByAddress[address]
	old := 0
	for old < len(idle) && idle[old].idleSince.Before(before) {
		old++
	}
	removed := slices.Clone(idle[:old])
	p.idleByAddress[address] = slices.Clone(idle[old:])
	p.mutex.Unlock()
	for _, conn := range removed {
		conn.close()
	}
}

// removeIdle removes the connections that have been idle since before a time. The connections
// of each address are ordered by their last use. The mutex must be held.
func (p *pool) removeIdle(before time.Time) []*pooledConn {
	var removed []*pooledConn
	for address, idle := range p.idleByAddress {
		old := 0
		for old < len(idle) && idle[old].idleSince.Before(before) {
			old++
		}
		removed = append(removed, idle[:old]...)
		if old == len(idle) {
			delete(p.idleByAddress, address)
		} else if old > 0 {
			p.idleByAddress[address] = append([]*pooledConn(nil), idle[old:]...)
		}
	}
	return removed
}

// close closes the idle connections immediately, and those in use when they are put back.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	removed := p.removeIdle(time.Now().Add(maxIdleTime))
	p.mutex.Unlock()
	for _, conn := range removed {
		conn.close()
	}
}

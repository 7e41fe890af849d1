package traffic

import (
	"math"
	"net/http"
	"time"

	"sliphead/internal/fault"
)

// roundTrip sends a request and reads the response's header. A body that waits for 100 Continue
// is sent once the other side requests it.
func (c *pooledConn) roundTrip(x *exchange, to *hop) (*http.Response, error) {
	c.bodyStarted = false
	c.bodyWriter = nil
	timer := c.startAckTimer(to)
	defer timer.Stop()
	began := time.Now()
	if err := writeRequest(c.writer, x, to); err != nil {
		return nil, err
	}
	if !to.expectsContinue(x) {
		if err := c.writeBody(x); err != nil {
			return nil, err
		}
	}
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, x.request)
		if err != nil {
			return nil, err
		}
		timer.Stop()
		if !c.acknowledge() {
			return nil, errUnresponsive
		}
		if to.onAck != nil {
			to.onAck(time.Since(began))
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
		if response.StatusCode == http.StatusContinue && to.expectsContinue(x) && !c.bodyStarted {
			if err := c.writeBody(x); err != nil {
				return nil, err
			}
		}
	}
	return nil, fault.New(fault.Worker, "answer with a final status", "more than %d informational responses", maxInformational)
}

// sendDirect makes one attempt on a pooled connection. The last result is false if all
// connections are in use.
func sendDirect(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result, bool) {
	conn, err := to.pool.take(x.context, to.address, to.ackTimeout)
	if err == errPoolFull {
		return nil, nil, false
	}
	if err != nil {
		failure := roundTripFailure(x, false, err)
		return nil, &failure, true
	}
	got, failure := conn.exchange(x, to, check)
	return got, failure, true
}

// States of the acknowledgement of an attempt. A single transition decides whether it came in
// time: it may arrive at the moment at which the other side is abandoned, and a body that was
// sent after that would run and be interrupted.
const (
	ackPending = iota
	ackReceived
	ackMissed
)

// errUnresponsive ends an attempt whose acknowledgement came too late.
var errUnresponsive = fault.New(fault.Peer, "send it again if it may be repeated", "the next hop did not acknowledge the request in time")

// acknowledge records an acknowledgement. It returns false if the other side was abandoned
// before.
func (c *pooledConn) acknowledge() bool {
	return c.ackState.CompareAndSwap(ackPending, ackReceived) || c.ackState.Load() == ackReceived
}

// isUnresponsive reports whether the other side was abandoned because no acknowledgement came
// in time.
func (c *pooledConn) isUnresponsive() bool { return c.ackState.Load() == ackMissed }

// startAckTimer interrupts the connection when no acknowledgement comes in time, unless
// waitsForDeadline or onAckTimeout of the hop provides otherwise.
func (c *pooledConn) startAckTimer(to *hop) *time.Timer {
	c.ackState.Store(ackPending)
	timeout := to.ackTimeout
	if timeout <= 0 {
		timeout = math.MaxInt64
	}
	return time.AfterFunc(timeout, func() {
		if to.waitsForDeadline != nil && to.waitsForDeadline() {
			return
		}
		if to.onAckTimeout != nil {
			to.onAckTimeout()
			return
		}
		if c.ackState.CompareAndSwap(ackPending, ackMissed) {
			c.interrupt()
		}
	})
}

// maxForeignResponses is the number of responses to other requests that are skipped on one
// connection.
const maxForeignResponses = 2

// reportBytes reports the bytes that an attempt used on the link, including the body of a
// response of known length; response is nil if there was none.
func (c *pooledConn) reportBytes(to *hop, failure *result, response *http.Response, base int64) {
	if to.onBytes == nil {
		return
	}
	received := c.received.Load() - c.receivedBefore
	if response != nil {
		received += max(0, declaredBytes(response)-int64(c.reader.Buffered()))
	}
	to.onBytes(failure, c.bytesWritten()-base, received)
}

// exchange makes one attempt. It returns the response, or how the attempt failed.
func (c *pooledConn) exchange(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := writeTracker{conn: c.sealedConn, writtenBefore: c.bytesWritten()}
	c.begin(x.context, x.request.Method)
	response, err := c.roundTrip(x, to)
	for range maxForeignResponses {
		if err != nil || !to.usesCustomHeaders() || !to.protocol.belongsToOtherRequest(x, response) {
			break
		}
		response, err = c.readNextResponse(x, response)
	}
	if err != nil {
		if x.context.Err() == nil && !x.body.isBroken() {
			c.recordReset()
		}
		failure := c.attemptFailure(x, to, watch.mayHaveSent(), err)
		c.closeUnresponsiveIdle()
		c.reportBytes(to, &failure, nil, watch.writtenBefore)
		c.abandon()
		return nil, &failure
	}
	if c.mayPrecedeBody(response) {
		response.Close = true
	}
	c.recordPeerIdleTimeout(response)
	failure := check(response)
	c.reportBytes(to, failure, response, watch.writtenBefore)
	switch {
	case failure != nil && failure.cause == causeForeign:
		c.abandon()
		return nil, failure
	case failure != nil:
		c.finish(c.discardBody(response) && !response.Close)
		return nil, failure
	case response.Body == http.NoBody:
		c.finish(!response.Close)
	default:
		response.Body = &connBody{ReadCloser: response.Body, conn: c, reusable: !response.Close}
	}
	return receive(x, response)
}

package traffic

import (
	"math"
	"net/http"
	"time"

	"sliphead/internal/fault"
)

// roundTrip sends a request and reads the answer's header. With an offer, the
// body goes out once the other side asks for it.
func (c *pooledConn) roundTrip(x *exchange, to *hop) (*http.Response, error) {
	c.started = false
	c.body = nil
	sign := c.awaitSign(to)
	defer sign.Stop()
	began := time.Now()
	if err := writeRequest(c.writer, x, to); err != nil {
		return nil, err
	}
	if !to.offers(x) {
		if err := c.writeBody(x); err != nil {
			return nil, err
		}
	}
	c.limit = maxAnswerHeader
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, x.request)
		if err != nil {
			return nil, err
		}
		sign.Stop()
		if !c.signed() {
			return nil, errSilent
		}
		if to.onSign != nil {
			to.onSign(time.Since(began))
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limit = math.MaxInt64
			return response, nil
		}
		if response.StatusCode == http.StatusContinue && to.offers(x) && !c.started {
			if err := c.writeBody(x); err != nil {
				return nil, err
			}
		}
	}
	return nil, fault.New(fault.Worker, "answer with a final status", "more than %d informational answers", maxInformational)
}

// sendDirect makes one try on a pooled connection, false if none is free.
func sendDirect(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result, bool) {
	conn, err := to.pool.take(x.context, to.address, to.silence)
	if err == errPoolFull {
		return nil, nil, false
	}
	if err != nil {
		failure := roundTripFailure(x, false)
		return nil, &failure, true
	}
	got, failure := conn.exchange(x, to, check)
	return got, failure, true
}

// The states of a try's first sign. It is decided once whether the sign came in
// time: it may come at the very moment at which the other side is given up, and a
// body that is sent after that would run and be cut off.
const (
	signAwaited = iota
	signCame
	signMissed
)

// errSilent ends a try whose other side gave its sign too late.
var errSilent = fault.New(fault.Peer, "send it again if it may be repeated", "the next hop was silent")

// signed notes a sign. It reports false when the other side was given up before.
func (c *pooledConn) signed() bool {
	return c.sign.CompareAndSwap(signAwaited, signCame) || c.sign.Load() == signCame
}

// isSilent reports whether the other side was given up for its silence.
func (c *pooledConn) isSilent() bool { return c.sign.Load() == signMissed }

// awaitSign interrupts the connection unless the other side gives a sign in
// time, or silence is to be endured by then.
func (c *pooledConn) awaitSign(to *hop) *time.Timer {
	c.sign.Store(signAwaited)
	within := to.silence
	if within <= 0 {
		within = math.MaxInt64
	}
	return time.AfterFunc(within, func() {
		if to.endures != nil && to.endures() {
			return
		}
		if to.onSilence != nil {
			to.onSilence()
			return
		}
		if c.sign.CompareAndSwap(signAwaited, signMissed) {
			c.interrupt()
		}
	})
}

// writeBody sends a whole body: a short one now, a long one while the answer
// is read, because the other side may answer before it has read it all.
func (c *pooledConn) writeBody(x *exchange) error {
	c.started = true
	if x.body.length <= directBody {
		_, _ = c.writer.Write(x.body.whole) // Flush tells its error
		return c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	sent := make(chan struct{})
	c.body = sent
	go func() {
		defer close(sent)
		_, _ = c.sealedConn.Write(x.body.whole) // the answer, or its lack, tells of an error
	}()
	return nil
}

// bodySent reports whether all of the body has gone out.
func (c *pooledConn) bodySent() bool {
	if c.body == nil {
		return true
	}
	select {
	case <-c.body:
		return true
	default:
		return false
	}
}

// mayBeEarly reports whether an answer may have come before the other side has
// read the whole body: then the connection must not carry another request.
func (c *pooledConn) mayBeEarly(response *http.Response) bool {
	return c.body != nil && (response.StatusCode >= http.StatusMultipleChoices || !c.bodySent())
}

// mostForeign is how many answers that belong to other requests are passed
// over on one connection.
const mostForeign = 2

// tellBytes tells what a try has taken of the link, the body of an answer of known length
// included; response is nil when there was none.
func (c *pooledConn) tellBytes(to *hop, failure *result, response *http.Response, base int64) {
	if to.onBytes == nil {
		return
	}
	received := c.received.Load() - c.heard
	if response != nil {
		received += max(0, response.ContentLength-int64(c.reader.Buffered()))
	}
	to.onBytes(failure, c.count()-base, received)
}

// exchange makes one try. It returns the answer, or how the try failed.
func (c *pooledConn) exchange(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := sending{conn: c.sealedConn, base: c.count()}
	c.begin(x.context)
	response, err := c.roundTrip(x, to)
	for range mostForeign {
		if err != nil || !to.foreignTo() || !to.protocol.belongsElsewhere(x, response) {
			break
		}
		response, err = c.next(x, response)
	}
	if err != nil {
		if x.context.Err() == nil {
			c.noteReset()
		}
		failure := c.tripFailure(x, to, watch.left())
		c.noteSilence()
		c.tellBytes(to, &failure, nil, watch.base)
		c.abandon()
		return nil, &failure
	}
	if c.mayBeEarly(response) {
		response.Close = true
	}
	c.noteIdleLife(response)
	failure := check(response)
	c.tellBytes(to, failure, response, watch.base)
	switch {
	case failure != nil && failure.cause == causeForeign:
		c.abandon()
		return nil, failure
	case failure != nil:
		c.finish(c.skip(response) && !response.Close)
		return nil, failure
	case response.Body == http.NoBody:
		c.finish(!response.Close)
	default:
		response.Body = &ownedBody{ReadCloser: response.Body, conn: c, reusable: !response.Close}
	}
	return receive(x, response)
}

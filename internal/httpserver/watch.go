package httpserver

import (
	"errors"
	"os"
	"time"
)

// watch waits until a condition holds and meanwhile watches the connection for the disconnect of
// the caller, which cancels all its requests. It returns false when the caller has disconnected.
// The condition is checked with the mutex held, after each change of the connection's state.
//
// A request that nobody watched waited for a slot of a busy worker until its deadline, long after
// its caller had left, and then ran. A connection therefore has to be watched whenever its reader
// waits while requests are outstanding: between requests (awaitRequest), at its limits, before
// 100 Continue, before a request that must run alone, and until the last response.
func (c *connection) watch(condition func() bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !condition() {
		if !c.mayReadAhead() {
			c.changed.Wait()
			continue
		}
		if err := c.readAhead(); err != nil {
			c.closing = true
			c.cancel()
			return false
		}
	}
	return true
}

// mayReadAhead reports whether the connection can be read to detect a disconnect: the body of
// the last request is not being read, and the bytes that have arrived behind it fit into the
// read buffer. The mutex must be held.
func (c *connection) mayReadAhead() bool {
	if len(c.queue) > 0 {
		body := c.queue[len(c.queue)-1].body
		if body != nil && !body.consumed && !body.expectsContinue {
			return false
		}
	}
	return c.reader.Buffered() < c.reader.Size()
}

// readAhead waits until more bytes have arrived than the read buffer holds, which are not
// consumed, or until the connection's state changes. It returns an error when the caller has
// disconnected. The mutex must be held; it is released while waiting. Afterwards the
// connection's read deadline is undefined.
func (c *connection) readAhead() error {
	more := c.reader.Buffered() + 1
	c.readerIdle, c.watching = true, true
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	_, err := c.reader.Peek(more)
	c.mutex.Lock()
	c.readerIdle, c.watching = false, false
	c.changed.Broadcast()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// interruptIdleRead returns when the connection's reader has stopped reading, so that the body
// can be read. The mutex must be held.
func (c *connection) interruptIdleRead() {
	for c.readerIdle {
		c.wakeRead()
		c.changed.Wait()
	}
}

// wakeRead ends the read for which the connection's reader waits. The mutex must be held.
func (c *connection) wakeRead() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// notifyReader lets the connection's reader check its state again. The mutex must be held.
func (c *connection) notifyReader() {
	if c.watching {
		c.wakeRead()
	}
	c.changed.Broadcast()
}

// awaitCapacity waits until another request may be read. It returns false when none is to be
// read any more.
func (c *connection) awaitCapacity() bool {
	connected := c.watch(func() bool { return c.closing || c.hasCapacity() })
	return connected && !c.isClosing()
}

// awaitEmptyQueue waits until all earlier requests have their responses. It returns false when
// the connection ends before that.
func (c *connection) awaitEmptyQueue() bool {
	connected := c.watch(c.isQueueEmpty)
	return connected && !c.isClosing() && c.context.Err() == nil
}

// awaitResponses waits until the accepted requests have their responses, and cancels them when
// the caller disconnects.
func (c *connection) awaitResponses() {
	c.watch(func() bool { return c.isQueueEmpty() || c.context.Err() != nil })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.isQueueEmpty() {
		c.changed.Wait()
	}
}

// isQueueEmpty reports whether all requests have their responses. The mutex must be held.
func (c *connection) isQueueEmpty() bool { return len(c.queue) == 0 }

func (c *connection) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing
}

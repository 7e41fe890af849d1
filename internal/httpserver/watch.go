package httpserver

import (
	"errors"
	"os"
	"time"
)

// isContinuePending reports whether the caller of the last request waits for 100 Continue and
// has sent no byte of the body. The mutex must be held.
func (c *connection) isContinuePending() bool {
	if len(c.queue) == 0 {
		return false
	}
	body := c.queue[len(c.queue)-1].body
	return body != nil && body.expectsContinue && c.reader.Buffered() == 0
}

// watchUntilContinue detects a caller that disconnects before 100 Continue is sent, and then
// cancels its request. Without this, a request that waited for a slot of a busy worker stayed
// in the queue until its deadline, 19 s after its caller had disconnected. It reports false
// when the caller has disconnected.
func (c *connection) watchUntilContinue() bool {
	c.mutex.Lock()
	if !c.isContinuePending() {
		c.mutex.Unlock()
		return true
	}
	c.readerIdle = true
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerIdle = false
	c.changed.Broadcast()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	c.closing = true
	c.cancel()
	return false
}

// interruptIdleRead returns when the connection's reader has stopped reading, so that the body
// can be read. The mutex must be held.
func (c *connection) interruptIdleRead() {
	for c.readerIdle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		c.changed.Wait()
	}
}

// awaitResponses waits until the accepted requests have their responses, and cancels them when
// the caller disconnects.
func (c *connection) awaitResponses() {
	if c.hasOutstanding() && c.context.Err() == nil {
		c.beginIdleRead(time.Time{})
		if c.hasOutstanding() { // otherwise the last response completed before the read began
			_, err := c.reader.Peek(1)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
		}
		c.endIdleRead()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue) > 0 {
		c.changed.Wait()
	}
}

// hasOutstanding reports whether requests are in flight and none of their bodies is being
// read.
func (c *connection) hasOutstanding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.queue) == 0 {
		return false
	}
	last := c.queue[len(c.queue)-1]
	return last.body == nil || last.body.consumed
}

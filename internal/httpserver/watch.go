package httpserver

import (
	"errors"
	"os"
	"time"
)

// isBodyUnasked reports whether the caller waits to be asked for the body of the last
// request, and has sent nothing of it. The mutex is held.
func (c *connection) isBodyUnasked() bool {
	if len(c.queue) == 0 {
		return false
	}
	body := c.queue[len(c.queue)-1].body
	return body != nil && body.awaited && c.reader.Buffered() == 0
}

// watchUnasked watches for the caller's leaving until it is asked for its body, and then
// ends the request. Else a request that waits for a slot kept its place in the queue of a
// busy worker to its deadline, 19 s in place of none, after its caller had left. It
// reports false when the caller has left.
func (c *connection) watchUnasked() bool {
	c.mutex.Lock()
	if !c.isBodyUnasked() {
		c.mutex.Unlock()
		return true
	}
	c.idling = true
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idling = false
	c.changed.Broadcast()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	c.closing = true
	c.cancel()
	return false
}

// stopWatching returns when the reader has left the connection to the body. The mutex is held.
func (c *connection) stopWatching() {
	for c.idling {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		c.changed.Wait()
	}
}

// watch waits until the requests that were taken are answered, and ends them when
// the caller leaves.
func (c *connection) watch() {
	if c.outstanding() && c.context.Err() == nil {
		c.startIdling(time.Time{})
		if c.outstanding() { // else the answer that ended them all came before
			_, err := c.reader.Peek(1)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
		}
		c.stopIdling()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue) > 0 {
		c.changed.Wait()
	}
}

// outstanding reports whether requests run whose bodies are not being read.
func (c *connection) outstanding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.queue) == 0 {
		return false
	}
	last := c.queue[len(c.queue)-1]
	return last.body == nil || last.body.done
}

// Package sockets ends blocking reads and accepts when a context ends.
package sockets

import (
	"context"
	"io"
	"sync"
)

// CloseOnDone closes a socket when ctx ends. The returned function closes it as well, unless that was
// done, and returns once it is closed: whoever has called it may leave the address to others. A
// read or accept that fails because the socket is being closed may return earlier than that.
func CloseOnDone(ctx context.Context, socket io.Closer) (closeNow func()) {
	closeOnce := sync.OnceFunc(func() { _ = socket.Close() }) // what is read or written later shows that it is closed
	stop := context.AfterFunc(ctx, closeOnce)
	return func() {
		stop()
		closeOnce()
	}
}

package traffic

import (
	"io"
	"net/http"
	"net/http/httputil"
)

// bodyWriter sends a long body while the response is read, because the other side may respond
// before it has read the whole body. A failed write shows in the response or in its absence: the
// other side may have closed the connection after it had responded.
type bodyWriter struct {
	done  chan struct{} // closed when no more of the body is written
	whole bool          // whether all of it was written; valid once done is closed
}

// startBody starts to send a body on a connection and returns immediately. A body that breaks off
// at the caller interrupts the connection, since no response can be expected.
func (c *pooledConn) startBody(x *exchange) *bodyWriter {
	started := &bodyWriter{done: make(chan struct{})}
	if x.body.stream == nil {
		go started.writeWhole(c, x.body.whole)
	} else {
		go started.copyStream(c, x.body.reader(), x.body.length)
	}
	return started
}

func (w *bodyWriter) writeWhole(conn *pooledConn, body []byte) {
	defer close(w.done)
	_, err := conn.sealedConn.Write(body)
	w.whole = err == nil
}

func (w *bodyWriter) copyStream(conn *pooledConn, source io.Reader, length int64) {
	defer close(w.done)
	broken, err := copyBody(conn.sealedConn, source, length)
	w.whole = err == nil && !broken
	if broken {
		conn.interrupt()
	}
}

// copyBody writes a body of a length, or in chunks if the length is negative. broken reports
// whether the source ended early or failed.
func copyBody(to io.Writer, source io.Reader, length int64) (broken bool, err error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	body := to
	if length < 0 {
		body = httputil.NewChunkedWriter(to)
	}
	copied := int64(0)
	for {
		count, readErr := source.Read(buffer[:])
		if count > 0 {
			if _, err := body.Write(buffer[:count]); err != nil {
				return false, err
			}
			copied += int64(count)
		}
		switch {
		case readErr == nil:
		case readErr != io.EOF || length >= 0 && copied < length:
			return true, nil
		case length < 0:
			_, err := io.WriteString(to, "0\r\n\r\n")
			return false, err
		default:
			return false, nil
		}
	}
}

// isWhole reports whether the whole body was written. A nil writer has none to write.
func (w *bodyWriter) isWhole() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.whole
	default:
		return false
	}
}

// writeBody sends the body: a short buffered one immediately, any other while the response is
// read.
func (c *pooledConn) writeBody(x *exchange) error {
	c.bodyStarted = true
	if x.body.stream == nil && x.body.length <= directBody {
		_, _ = c.writer.Write(x.body.whole) // Flush returns its error
		return c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.bodyWriter = c.startBody(x)
	return nil
}

// mayPrecedeBody reports whether a response may have arrived before the other side has read
// the whole body. The connection must then not carry another request.
func (c *pooledConn) mayPrecedeBody(response *http.Response) bool {
	return c.bodyWriter != nil && (response.StatusCode >= http.StatusMultipleChoices || !c.bodyWriter.isWhole())
}

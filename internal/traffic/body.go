package traffic

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// body is a request's body. A small one is held whole and can be sent again;
// any other streams and can be sent again only while nothing of it was read.
type body struct {
	length  int64 // -1: not known
	whole   []byte
	stream  *streamedBody
	present bool
}

// open prepares a request's body. The error is the caller's: the body broke.
func openBody(writer http.ResponseWriter, request *http.Request, limits *Limits) (body, error) {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return body{}, nil
	}
	// Without full duplex the server reads on in the body before it lets a
	// final answer out, and so holds it back.
	controller := http.NewResponseController(writer)
	_ = controller.EnableFullDuplex() // not offered by all writers: then answers wait for the body
	stream := &streamedBody{source: request.Body, controller: controller, timeout: limits.BodyTimeout}
	if request.ContentLength < 0 || request.ContentLength > limits.SmallBody {
		return body{present: true, length: request.ContentLength, stream: stream}, nil
	}
	whole := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(stream, whole); err != nil {
		return body{}, err
	}
	if _, err := stream.Read(make([]byte, 1)); err != io.EOF { // lets the server notice the end
		return body{}, io.ErrUnexpectedEOF
	}
	return body{present: true, length: request.ContentLength, whole: whole}, nil
}

// reader returns the body for one try.
func (b *body) reader() io.ReadCloser {
	switch {
	case !b.present:
		return http.NoBody
	case b.stream != nil:
		return b.stream
	default:
		return io.NopCloser(bytes.NewReader(b.whole))
	}
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil || !b.stream.touched.Load() }

// streamedBody reads from the caller as fast as the other side takes it. Its
// Close does nothing, so that a body that was not read can go to another node.
type streamedBody struct {
	source     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	touched    atomic.Bool
	broken     atomic.Bool
}

// Read implements io.Reader. Each read has the whole timeout.
func (s *streamedBody) Read(buffer []byte) (int, error) {
	s.touched.Store(true)
	_ = s.controller.SetReadDeadline(time.Now().Add(s.timeout)) // not offered by all writers
	count, err := s.source.Read(buffer)
	if err != nil {
		// The server watches the connection for the caller's leaving from now on.
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	if err != nil && err != io.EOF {
		s.broken.Store(true)
	}
	return count, err
}

// Close implements io.Closer.
func (s *streamedBody) Close() error { return nil }

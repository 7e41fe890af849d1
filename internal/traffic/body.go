package traffic

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// readBody opens the request's body.
func readBody(limits *Limits) filter {
	return func(next stage) stage {
		return func(x *exchange) result {
			opened, err := openBody(x, limits)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return reject(http.StatusRequestTimeout, causeMalformed, "send the body faster")
			}
			if err != nil {
				return reject(http.StatusBadRequest, causeMalformed, "send the whole body")
			}
			x.body = opened
			defer x.body.end()
			return next(x)
		}
	}
}

// mostWhole bounds the bodies that are held whole with a catalog, in bytes.
const mostWhole = 4 << 20

// readWholeBody opens the request's body and reads it whole, also one of
// unknown length: it may then be offered to several nodes.
func readWholeBody(limits *Limits) filter {
	known := *limits
	known.SmallBody = mostWhole
	open := readBody(&known)
	return func(next stage) stage {
		withLength := open(next)
		return func(x *exchange) result {
			if bound := x.view.Limits.MaxBodyBytes; bound > 0 && x.request.ContentLength > bound {
				return reject(http.StatusRequestEntityTooLarge, causeLimits, "send a shorter body")
			}
			if x.request.ContentLength >= 0 {
				return withLength(x)
			}
			whole, err := io.ReadAll(io.LimitReader(x.request.Body, mostWhole+1))
			if err != nil {
				return reject(http.StatusBadRequest, causeMalformed, "send the whole body")
			}
			if len(whole) > mostWhole {
				return reject(http.StatusRequestEntityTooLarge, causeLimits, "send a shorter body, or its length")
			}
			x.body = body{present: true, length: int64(len(whole)), whole: whole}
			return next(x)
		}
	}
}

// body is a request's body. A small one is held whole and can be sent again;
// any other streams and can be sent again only while nothing of it was read.
type body struct {
	length  int64 // -1: not known
	whole   []byte
	stream  *streamedBody
	present bool
}

// unread reports whether something of the request's body may still come. Then
// the connection is closed after the answer: else the server of net/http reads
// the rest first and so holds a final answer back.
func (x *exchange) unread() bool {
	if x.request.ContentLength == 0 {
		return false
	}
	if x.body.stream != nil {
		return !x.body.stream.finished.Load()
	}
	return !x.body.present
}

// openBody prepares a request's body. The error is the caller's: the body broke.
func openBody(x *exchange, limits *Limits) (body, error) {
	request := x.request
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return body{}, nil
	}
	stream := &streamedBody{source: request.Body, controller: http.NewResponseController(x.writer), timeout: limits.BodyTimeout, deadline: x.deadline}
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

// end stops reading from the caller's connection, which may go on to carry
// another request.
func (b *body) end() {
	if b.stream != nil {
		b.stream.end()
	}
}

// streamedBody reads from the caller as fast as the other side takes it. Its
// Close does nothing, so that a body that was not read can go to another node.
type streamedBody struct {
	source     io.Reader
	controller *http.ResponseController
	timeout    time.Duration // for each read
	deadline   time.Time     // for all reads
	touched    atomic.Bool
	broken     atomic.Bool
	finished   atomic.Bool

	mutex sync.Mutex
	ended bool
}

// Read implements io.Reader.
func (s *streamedBody) Read(buffer []byte) (int, error) {
	s.touched.Store(true)
	until := time.Now().Add(s.timeout)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	if !s.readUntil(until) {
		return 0, http.ErrBodyReadAfterClose
	}
	count, err := s.source.Read(buffer)
	if err != nil {
		// The server watches the connection for the caller's leaving from now on.
		s.readUntil(time.Time{})
	}
	s.finished.Store(err == io.EOF)
	s.broken.Store(err != nil && err != io.EOF)
	return count, err
}

// readUntil sets the connection's read deadline, false when the request has ended.
func (s *streamedBody) readUntil(deadline time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		_ = s.controller.SetReadDeadline(deadline) // not offered by all writers
	}
	return !s.ended
}

func (s *streamedBody) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
}

// Close implements io.Closer.
func (s *streamedBody) Close() error { return nil }

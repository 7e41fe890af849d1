package traffic

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sliphead/internal/fault"
)

// streamedBody is a body that is read from the caller as fast as the next hop accepts it. What
// an attempt has read is gone, so the body can be sent again only if no attempt has begun to
// read it.
type streamedBody struct {
	source     io.Reader
	controller *http.ResponseController
	timeout    time.Duration // for each read
	deadline   time.Time     // for all reads
	broken     atomic.Bool   // whether the caller's body broke off or is too long
	tooLong    atomic.Bool   // whether it is longer than the catalog allows
	finished   atomic.Bool   // whether the whole body was read
	bytesRead  atomic.Int64

	mutex       sync.Mutex
	reader      *streamReader // of the current attempt, the only one that may read; nil: none
	readStarted bool
	ended       bool
}

func newStreamedBody(x *exchange, limits *Limits) *streamedBody {
	return &streamedBody{source: x.request.Body, controller: http.NewResponseController(x.writer), timeout: limits.BodyTimeout, deadline: x.deadline}
}

// newReader returns the reader of the next attempt. Reads by earlier attempts fail from now on.
func (s *streamedBody) newReader() *streamReader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reader = &streamReader{stream: s}
	return s.reader
}

// reclaim makes reads by all attempts so far fail, and reports whether none has begun. Like that
// of sealedConn.seal, the result is final.
func (s *streamedBody) reclaim() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reader = nil
	return !s.readStarted
}

// end makes all later reads fail, because the request has ended.
func (s *streamedBody) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reader = nil
	s.ended = true
}

// Read implements io.Reader for a body that is buffered before the first attempt.
func (s *streamedBody) Read(buffer []byte) (int, error) {
	until := time.Now().Add(s.timeout)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	if !s.setReadDeadline(until) {
		return 0, http.ErrBodyReadAfterClose
	}
	count, err := s.source.Read(buffer)
	s.bytesRead.Add(int64(count))
	if err != nil {
		// From now on the server watches the connection for the disconnect of the caller.
		s.setReadDeadline(time.Time{})
	}
	s.finished.Store(err == io.EOF)
	s.broken.Store(err != nil && err != io.EOF)
	s.tooLong.Store(errors.Is(err, errBodyTooLong))
	return count, err
}

// setReadDeadline sets the connection's read deadline and returns false if the request has
// ended.
func (s *streamedBody) setReadDeadline(deadline time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		_ = s.controller.SetReadDeadline(deadline) // not supported by all writers
	}
	return !s.ended
}

// errBodyReclaimed ends the reads of an attempt that no longer owns the body.
var errBodyReclaimed = fault.New(fault.Internal, "none, the attempt has ended", "the request body was taken back from an attempt that has ended")

// streamReader is a streamed body as one attempt reads it. Its Close does nothing, so that an
// unread body can be sent to another node.
type streamReader struct{ stream *streamedBody }

// Read implements io.Reader.
func (r *streamReader) Read(buffer []byte) (int, error) {
	if !r.begin() {
		return 0, errBodyReclaimed
	}
	count, err := r.stream.Read(buffer)
	if !r.isCurrent() {
		return 0, errBodyReclaimed // the attempt ended during the read: the bytes belong to none
	}
	return count, err
}

// begin records that the body is being read. It returns false if the attempt no longer owns it.
func (r *streamReader) begin() bool {
	r.stream.mutex.Lock()
	defer r.stream.mutex.Unlock()
	if r.stream.reader != r {
		return false
	}
	r.stream.readStarted = true
	return true
}

func (r *streamReader) isCurrent() bool {
	r.stream.mutex.Lock()
	defer r.stream.mutex.Unlock()
	return r.stream.reader == r
}

// Close implements io.Closer.
func (r *streamReader) Close() error { return nil }

// errBodyTooLong ends the reads of a body that is longer than the catalog allows.
var errBodyTooLong = fault.New(fault.Caller, "send a shorter body", "the request body is longer than the catalog allows")

// boundedReader fails with err once more bytes have been read than are left.
type boundedReader struct {
	source io.Reader
	left   int64
	err    error
}

// Read implements io.Reader.
func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.left < 0 {
		return 0, r.err
	}
	count, err := r.source.Read(buffer)
	r.left -= int64(count)
	if r.left < 0 {
		return 0, r.err
	}
	return count, err
}

package traffic

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// readBody prepares the request's body unless that was done before: a small one is buffered, any
// other is streamed.
func readBody(limits *Limits) filter {
	return func(next stage) stage {
		return func(x *exchange) result {
			if x.body.present {
				return next(x)
			}
			opened, err := openBody(x, limits)
			if err != nil {
				return bodyFailure(err)
			}
			x.body = opened
			defer x.body.end()
			return next(x)
		}
	}
}

// readDirectBody buffers a body that was sent with its header, before the request waits for a
// slot. While it is unread, the server cannot see that the caller's node disconnects, and the
// request would keep its place in the queue.
func readDirectBody(limits *Limits) filter {
	read := readBody(limits)
	return func(next stage) stage {
		withBody := read(next)
		return func(x *exchange) result {
			length := x.request.ContentLength
			if x.bodyAwaited || length < 0 || length > directBody {
				return next(x)
			}
			return withBody(x)
		}
	}
}

// maxWholeBody bounds, in bytes, the request bodies that are buffered with a catalog.
const maxWholeBody = 4 << 20

// readWholeBody buffers the request's body, even one in chunks, so that it can be offered to
// several nodes. A longer one, and one for which there is no memory, is streamed. It rejects
// bodies above the catalog's limit.
func (out *Outbound) readWholeBody(next stage) stage {
	return func(x *exchange) result {
		if bound := x.view.Limits.MaxBodyBytes; bound > 0 && x.request.ContentLength > bound {
			return rejectLongBody()
		}
		memory := out.bodyMemory.reservation(remoteHost(x.request))
		defer memory.release()
		opened, err := openWholeBody(x, &out.config.Limits, memory)
		if err != nil {
			return bodyFailure(err)
		}
		x.body = opened
		defer x.body.end()
		return next(x)
	}
}

// openWholeBody prepares a body that is buffered if it fits into the reservation.
func openWholeBody(x *exchange, limits *Limits, memory *bodyReservation) (body, error) {
	length := x.request.ContentLength
	if length < 0 {
		return openChunkedBody(x, limits, memory)
	}
	bounded := *limits
	bounded.SmallBody = directBody
	if length > directBody && length <= maxWholeBody && memory.grow(length) {
		bounded.SmallBody = maxWholeBody
	}
	return openBody(x, &bounded)
}

// openChunkedBody prepares a body in chunks. Of one that is streamed, the part that was read to
// measure it is sent first.
func openChunkedBody(x *exchange, limits *Limits, memory *bodyReservation) (body, error) {
	stream := newStreamedBody(x, limits)
	if bound := x.view.Limits.MaxBodyBytes; bound > 0 {
		stream.source = &boundedReader{source: stream.source, left: bound, err: errBodyTooLong}
	}
	stream.timeout = time.Until(x.deadline) // while it is buffered, it holds no slot
	whole, ended, err := memory.readInto(stream, maxWholeBody)
	if err != nil {
		return body{}, err
	}
	if ended {
		return body{present: true, length: int64(len(whole)), whole: whole}, nil
	}
	stream.source = io.MultiReader(bytes.NewReader(whole), stream.source)
	stream.timeout = limits.BodyTimeout
	return body{present: true, length: -1, stream: stream}, nil
}

// bodyFailure returns the result of a request whose body could not be read.
func bodyFailure(err error) result {
	switch {
	case errors.Is(err, errBodyTooLong):
		return rejectLongBody()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reject(http.StatusRequestTimeout, causeMalformed, "send the body faster")
	default:
		return reject(http.StatusBadRequest, causeMalformed, "send the whole body")
	}
}

func rejectLongBody() result {
	return reject(http.StatusRequestEntityTooLarge, causeLimits, "send a shorter body")
}

// body is a request's body. A small one is buffered and can be sent again; any other is
// streamed and can be sent again only while nothing of it has been read.
type body struct {
	length  int64 // -1: unknown
	whole   []byte
	stream  *streamedBody
	present bool
}

// unread reports whether some of the request's body may not have been read yet. The connection
// is then closed after the response: otherwise the net/http server reads the rest first and
// delays the final response.
func (x *exchange) unread() bool {
	if x.request.ContentLength == 0 {
		return false
	}
	if x.body.stream != nil {
		return !x.body.stream.finished.Load()
	}
	return !x.body.present
}

// openBody prepares a request's body. An error means that the caller's body broke off.
func openBody(x *exchange, limits *Limits) (body, error) {
	request := x.request
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return body{}, nil
	}
	stream := newStreamedBody(x, limits)
	if request.ContentLength < 0 || request.ContentLength > limits.SmallBody {
		return body{present: true, length: request.ContentLength, stream: stream}, nil
	}
	whole := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(stream, whole); err != nil {
		return body{}, err
	}
	if _, err := stream.Read(make([]byte, 1)); err != io.EOF { // the server notices the end of the body by this read
		return body{}, io.ErrUnexpectedEOF
	}
	return body{present: true, length: request.ContentLength, whole: whole}, nil
}

// reader returns the body for one attempt. A streamed body is then read by that attempt alone.
func (b *body) reader() io.ReadCloser {
	switch {
	case !b.present:
		return http.NoBody
	case b.stream != nil:
		return b.stream.newReader()
	default:
		return io.NopCloser(bytes.NewReader(b.whole))
	}
}

// isBroken reports whether the body broke off at the caller.
func (b *body) isBroken() bool { return b.stream != nil && b.stream.broken.Load() }

// isTooLong reports whether the body is longer than the catalog allows.
func (b *body) isTooLong() bool { return b.stream != nil && b.stream.tooLong.Load() }

// reclaim takes the body back from an attempt that has ended, and reports whether all of it can
// be sent to another node. The goroutine that sends the body may outlive its attempt; without
// this it would go on reading what the next attempt is to send.
func (b *body) reclaim() bool { return b.stream == nil || b.stream.reclaim() }

// end stops reads from the caller's connection, which may then carry another request.
func (b *body) end() {
	if b.stream != nil {
		b.stream.end()
	}
}

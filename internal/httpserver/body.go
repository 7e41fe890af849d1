package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// requestBody is the body of the only request that runs on a connection. Its fields are
// guarded by the connection's mutex, except source.
type requestBody struct {
	response        *response
	source          io.Reader
	chunked         bool
	remaining       int64     // bytes not yet read of a body with a length
	expectsContinue bool      // whether the caller waits for 100 Continue
	deadline        time.Time // zero: none
	consumed        bool      // whether the whole body was read
	requestEnded    bool      // whether the request has ended, so that no more is read
}

// newRequestBody sets the body of a request of which only the header was parsed. It returns
// nil when there is no body.
func newRequestBody(answer *response, reader *bufio.Reader) *requestBody {
	request := answer.request
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		return nil
	}
	body := &requestBody{response: answer, source: reader, remaining: request.ContentLength}
	if request.ContentLength < 0 {
		body.chunked = true
		body.source = httputil.NewChunkedReader(reader)
	}
	body.expectsContinue = request.ProtoAtLeast(1, 1) && len(request.Header["Expect"]) > 0
	request.Body = body
	return body
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	needsContinue, err := b.beginRead()
	if needsContinue {
		err = b.response.writeInformational(http.StatusContinue)
	}
	if err != nil || len(buffer) == 0 {
		return 0, err
	}
	if !b.chunked && int64(len(buffer)) > b.remaining {
		buffer = buffer[:b.remaining]
	}
	count, err := b.source.Read(buffer)
	if b.chunked && err == io.EOF {
		err = b.readTrailer()
	} else if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if !b.chunked {
		b.remaining -= int64(count)
	}
	if err == io.EOF || !b.chunked && b.remaining == 0 {
		b.finish()
	}
	return count, err
}

// beginRead reports whether 100 Continue must be sent first, because the caller waits for it.
func (b *requestBody) beginRead() (needsContinue bool, err error) {
	conn := b.response.conn
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case b.requestEnded:
		return false, http.ErrBodyReadAfterClose
	case b.consumed:
		return false, io.EOF
	}
	needsContinue, b.expectsContinue = b.expectsContinue, false
	if needsContinue {
		conn.interruptIdleRead()
		err = conn.conn.SetReadDeadline(b.deadline)
	}
	return needsContinue, err
}

// finish marks the body as read, so that the connection may read the next request.
func (b *requestBody) finish() {
	conn := b.response.conn
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	b.consumed = true
	conn.changed.Broadcast()
}

// maxTrailerBytes limits the trailer of a chunked body.
const maxTrailerBytes = 4 << 10

// readTrailer reads the trailer after the last chunk. It returns io.EOF when the trailer is
// valid. Its fields are discarded.
func (b *requestBody) readTrailer() error {
	reader := b.response.conn.reader
	check := headerCheck{lines: 1, hostCount: 1} // as if the request line and the Host header had been read
	for read := 0; read < maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		check.addLine(line)
		if err := check.problem(); err != nil {
			return err
		}
		if isEmptyLine(line) {
			return io.EOF
		}
		read += len(line)
	}
	return errHeadersTooLong
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// requestBody is the body of the only request that runs on a connection. Its
// fields are guarded by the connection's mutex, but for source.
type requestBody struct {
	response *response
	source   io.Reader
	chunked  bool
	left     int64     // of a body with a length
	awaited  bool      // whether the caller waits for 100 Continue
	until    time.Time // when reading ends; zero: never
	done     bool      // whether all of it was read
	ended    bool      // whether the request has ended, so that nothing more is read
}

// newRequestBody puts a body into a request that was parsed without.
func newRequestBody(answer *response, reader *bufio.Reader) *requestBody {
	request := answer.request
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		return nil
	}
	body := &requestBody{response: answer, source: reader, left: request.ContentLength}
	if request.ContentLength < 0 {
		body.chunked = true
		body.source = httputil.NewChunkedReader(reader)
	}
	body.awaited = request.ProtoAtLeast(1, 1) && len(request.Header["Expect"]) > 0
	request.Body = body
	return body
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	awaited, err := b.begin()
	if awaited {
		err = b.response.writeInformational(http.StatusContinue)
	}
	if err != nil || len(buffer) == 0 {
		return 0, err
	}
	if !b.chunked && int64(len(buffer)) > b.left {
		buffer = buffer[:b.left]
	}
	count, err := b.source.Read(buffer)
	if b.chunked && err == io.EOF {
		err = b.readTrailer()
	} else if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if !b.chunked {
		b.left -= int64(count)
	}
	if err == io.EOF || !b.chunked && b.left == 0 {
		b.finish()
	}
	return count, err
}

// begin reports whether the caller waits for being asked for the body.
func (b *requestBody) begin() (awaited bool, err error) {
	conn := b.response.conn
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case b.ended:
		return false, http.ErrBodyReadAfterClose
	case b.done:
		return false, io.EOF
	}
	awaited, b.awaited = b.awaited, false
	if awaited {
		conn.stopWatching()
		err = conn.conn.SetReadDeadline(b.until)
	}
	return awaited, err
}

// finish lets the connection read on.
func (b *requestBody) finish() {
	conn := b.response.conn
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	b.done = true
	conn.changed.Broadcast()
}

// mostTrailer bounds the trailer of a body in chunks, in bytes.
const mostTrailer = 4 << 10

// readTrailer reads what stands behind the last chunk, io.EOF when it was sound.
// Trailers are not passed on.
func (b *requestBody) readTrailer() error {
	reader := b.response.conn.reader
	seen := headScan{lines: 1, hosts: 1} // as if behind a request's first lines
	for read := 0; read < mostTrailer; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		seen.add(line)
		if err := seen.verdict(); err != nil {
			return err
		}
		if isBlank(line) {
			return io.EOF
		}
		read += len(line)
	}
	return errHeadersTooLong
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

package traffic

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"sliphead/internal/fault"
	"sliphead/internal/outcome"
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answer is the response of the next hop before it is forwarded.
type answer struct {
	response *http.Response
	whole    []byte // the body, if it is small and of known length
	isWhole  bool
	replayed bool // whether it was stored by an earlier run

	callFailed bool // whether calls of the worker failed while it ran the request
}

// kilobytes returns the size of the response with its header, 0 if its length is unknown.
func (a *answer) kilobytes() float64 {
	const kilo = 1000
	if a.response.ContentLength < 0 {
		return 0
	}
	return float64(declaredBytes(a.response)+headerBytes) / kilo
}

// maxDeclaredBytes is the longest body that is taken into account before it has arrived. A response
// may declare any length.
const maxDeclaredBytes = 64 << 20

// declaredBytes returns the declared length of the body, 0 if there is none.
func declaredBytes(response *http.Response) int64 {
	return min(max(0, response.ContentLength), maxDeclaredBytes)
}

// receive reads a response. A small one is buffered completely, so that a truncated one can
// still be turned into a failure.
func receive(x *exchange, response *http.Response) (*answer, *result) {
	if !framed(response) && x.wholeUnframed {
		return receiveUnframed(x, response)
	}
	if !framed(response) {
		_ = response.Body.Close()
		failure := unknown(http.StatusBadGateway, causeUnframed, "let the worker send Content-Length or chunks, so that a short answer can be told from a whole one")
		return nil, &failure
	}
	if response.ContentLength < 0 || response.ContentLength > x.smallResponse || x.request.Method == http.MethodHead {
		return &answer{response: response}, nil
	}
	whole := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, whole)
	_ = response.Body.Close()
	if err != nil {
		failure := roundTripFailure(x, true, err)
		return nil, &failure
	}
	return &answer{response: response, whole: whole, isWhole: true}, nil
}

// maxUnframed bounds a buffered response without a length, in bytes.
const maxUnframed = 8 << 20

var errUnframedTooLong = fault.New(fault.Worker, "send a length or chunks", "a response without a length is longer than %d bytes", maxUnframed)

// receiveUnframed buffers a response that ends with its connection. It is complete only if the
// connection was closed without an error. Without memory for it, it is streamed.
func receiveUnframed(x *exchange, response *http.Response) (*answer, *result) {
	whole, ended, err := x.responseBuffer.readInto(response.Body, maxUnframed)
	if len(whole) == maxUnframed {
		err = errUnframedTooLong
	}
	if err == nil && !ended {
		return streamUnframed(response, whole), nil
	}
	_ = response.Body.Close()
	if err != nil {
		failure := roundTripFailure(x, true, err)
		return nil, &failure
	}
	response.ContentLength = int64(len(whole))
	return &answer{response: response, whole: whole, isWhole: true}, nil
}

// streamUnframed returns a response of which the beginning was buffered.
func streamUnframed(response *http.Response, beginning []byte) *answer {
	left := maxUnframed - int64(len(beginning))
	response.Body = unframedBody{
		Reader: io.MultiReader(bytes.NewReader(beginning), &boundedReader{source: response.Body, left: left, err: errUnframedTooLong}),
		Closer: response.Body,
	}
	return &answer{response: response}
}

// unframedBody is the body of a streamed response without a length.
type unframedBody struct {
	io.Reader
	io.Closer
}

// framed reports whether a truncated response can be distinguished from a complete one.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed ||
		response.Request.Method == http.MethodHead || response.Body == http.NoBody
}

// pass forwards the response to the caller. The header of a streamed response is sent before
// its body has been read; if the body then breaks off, the connection is cut.
func (a *answer) pass(x *exchange) result {
	defer func() { _ = a.response.Body.Close() }()
	header := x.writer.Header()
	copyEndToEnd(header, a.response.Header)
	fields := newFields(header)
	if x.request.Method != http.MethodHead && a.response.ContentLength < 0 {
		delete(header, "Content-Length")
	}
	if a.isWhole {
		fields.set("Content-Length", strconv.Itoa(len(a.whole)))
	}
	x.setOutcome(fields, outcome.Answered)
	if a.replayed {
		fields.set(replayedHeader, "1")
	}
	x.writer.WriteHeader(a.response.StatusCode)
	ended := result{outcome: outcome.Answered, status: a.response.StatusCode, cause: causeNone, sent: true}
	if a.isWhole {
		_, _ = x.writer.Write(a.whole) // an error means that the caller has disconnected
		return ended
	}
	if err := a.stream(x); err != nil {
		ended.outcome = outcome.Unknown
		ended.cause = causeBroken
		ended.reason = err
		ended.cut = true
	}
	return ended
}

// stream copies the body and flushes after each read, so that received data is not delayed.
func (a *answer) stream(x *exchange) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(x.writer)
	for {
		count, err := a.response.Body.Read(buffer[:])
		if count > 0 {
			if _, writeErr := x.writer.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			_ = controller.Flush() // not supported by all writers
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

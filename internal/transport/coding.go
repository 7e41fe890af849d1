package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/klauspost/compress/flate"

	"sliphead/internal/fault"
)

// The first byte of a stream identifies its coding.
const (
	codingPlain   byte = 'p'
	codingDeflate byte = 'd'
)

const (
	windowBytes      = 8 << 10  // history retained by a sender; the maximum that the stateless encoder uses
	chunkBytes       = 16 << 10 // maximum input that is compressed in one call
	smallBatchBytes  = 2 << 10  // batches below this size use only as much history, because the encoder indexes the history on each call
	readBufferBytes  = 4 << 10  // size of a reader's buffer; longer lines are collected in a separate buffer
	maxRetainedBytes = 64 << 10 // larger buffers are released after use

	bombAllowance = 1 << 20 // decoded bytes allowed for any stream
	bombRatio     = 256     // decoded bytes allowed in addition for each byte received
)

const protocolRemedy = "find out which process runs at the remote address; the stream was closed and no state was changed"

// lineWriter encodes batches of lines onto a stream. Between batches it retains only
// its history window and small buffers.
type lineWriter struct {
	writer   io.Writer
	compress bool
	started  bool   // whether the coding byte has been written
	history  []byte // the last bytes written, up to windowBytes
	input    []byte
	output   bytes.Buffer
}

// newLineWriter returns a writer for a new stream.
func newLineWriter(writer io.Writer, compression Compression) *lineWriter {
	return &lineWriter{writer: writer, compress: compression == CompressionDeflate}
}

// writeLines writes a batch of lines and flushes it. Small lines are combined into
// one write.
func (w *lineWriter) writeLines(lines [][]byte) error {
	for _, line := range lines {
		for len(line) > 0 {
			part := min(len(line), chunkBytes-len(w.input))
			w.input = append(w.input, line[:part]...)
			line = line[part:]
			if len(w.input) < chunkBytes {
				continue
			}
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
	err := w.flush()
	if cap(w.input) > readBufferBytes {
		w.input = nil
	}
	return err
}

// flush encodes and writes the collected input.
func (w *lineWriter) flush() error {
	if len(w.input) == 0 {
		return nil
	}
	w.output.Reset()
	w.start()
	if err := w.encode(); err != nil {
		return err
	}
	w.input = w.input[:0]
	_, err := w.writer.Write(w.output.Bytes())
	if w.output.Cap() > readBufferBytes {
		w.output = bytes.Buffer{}
	}
	return err
}

// start writes the coding byte before the first output.
func (w *lineWriter) start() {
	if w.started {
		return
	}
	w.started = true
	coding := codingPlain
	if w.compress {
		coding = codingDeflate
	}
	w.output.WriteByte(coding)
}

// encode appends the encoded input to the output.
func (w *lineWriter) encode() error {
	if !w.compress {
		w.output.Write(w.input)
		return nil
	}
	history := w.history
	if len(w.input) < smallBatchBytes && len(history) > smallBatchBytes {
		history = history[len(history)-smallBatchBytes:]
	}
	if err := flate.StatelessDeflate(&w.output, w.input, false, history); err != nil {
		return err
	}
	w.appendHistory(w.input)
	return nil
}

// appendHistory appends to the history and truncates it to the last windowBytes.
func (w *lineWriter) appendHistory(written []byte) {
	if len(written) >= windowBytes {
		w.history = append(w.history[:0], written[len(written)-windowBytes:]...)
		return
	}
	if excess := len(w.history) + len(written) - windowBytes; excess > 0 {
		w.history = append(w.history[:0], w.history[excess:]...)
	}
	w.history = append(w.history, written...)
}

// lineReader decodes lines from a stream within limits on their length and memory.
type lineReader struct {
	buffered *bufio.Reader
	longLine []byte // collects a line that is longer than the read buffer
	maximum  int    // maximum length of a line in bytes
	budget   *budget
	reserved int64 // bytes taken from the budget
}

// budget limits the memory of long lines over all streams of a node. It is safe for
// concurrent use.
type budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// reserve takes bytes from the budget. It returns false, taking none, if too few are
// left.
func (b *budget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// newLineReader reads the coding byte and returns a reader of lines of at most
// maximum bytes. received returns the number of bytes received on the connection.
func newLineReader(reader io.Reader, maximum int, budget *budget, received func() int64) (*lineReader, error) {
	var coding [1]byte
	if _, err := io.ReadFull(reader, coding[:]); err != nil {
		return nil, err
	}
	switch coding[0] {
	case codingPlain:
	case codingDeflate:
		reader = &bombGuard{reader: flate.NewReader(bufio.NewReaderSize(reader, readBufferBytes)), received: received}
	default:
		return nil, withCause(causeGarbage, fault.New(fault.Peer, protocolRemedy, "a stream starts with byte %#x, which is no known coding", coding[0]))
	}
	return &lineReader{buffered: bufio.NewReaderSize(reader, readBufferBytes), maximum: maximum, budget: budget}, nil
}

// next returns the next line, including its newline. The line is valid until the
// next call.
func (r *lineReader) next() ([]byte, error) {
	r.release()
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(r.longLine)+len(part) > r.maximum {
			return nil, withCause(causeTooLong, fault.New(fault.Peer, protocolRemedy, "a line has more than %d bytes", r.maximum))
		}
		if err == nil && len(r.longLine) == 0 {
			return part, nil
		}
		if !r.reserveFor(len(r.longLine) + len(part)) {
			return nil, withCause(causeMemory, fault.New(fault.Overload, "find out which peers send long lines; the stream may be opened again",
				"long lines of all peers together exceed %d bytes", r.budget.limit))
		}
		r.longLine = append(r.longLine, part...)
		if err == nil {
			return r.longLine, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// reserveFor takes the memory of a line of the given length from the shared budget,
// in steps of maxRetainedBytes. Buffers of up to maxRetainedBytes are not counted.
func (r *lineReader) reserveFor(length int) bool {
	if length <= maxRetainedBytes || int64(length) <= r.reserved {
		return true
	}
	steps := int64(length/maxRetainedBytes + 1)
	more := steps*maxRetainedBytes - r.reserved
	if !r.budget.reserve(more) {
		return false
	}
	r.reserved += more
	return true
}

// release frees a large buffer and returns its part of the budget. It must also be
// called when the stream has ended.
func (r *lineReader) release() {
	if cap(r.longLine) > maxRetainedBytes {
		r.longLine = nil
	}
	r.longLine = r.longLine[:0]
	if r.reserved > 0 {
		r.budget.used.Add(-r.reserved)
		r.reserved = 0
	}
}

// bombGuard protects against decompression bombs: it fails when a stream decodes
// to more than bombAllowance plus bombRatio times the bytes received.
type bombGuard struct {
	reader   io.Reader
	received func() int64
	decoded  int64
}

// Read implements io.Reader.
func (g *bombGuard) Read(buffer []byte) (int, error) {
	count, err := g.reader.Read(buffer)
	g.decoded += int64(count)
	if g.decoded > bombAllowance+bombRatio*g.received() {
		return 0, withCause(causeBomb, fault.New(fault.Peer, protocolRemedy, "a stream decodes to more than %d times its received bytes", bombRatio))
	}
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) {
		err = withCause(causeGarbage, fault.Wrap(err, fault.Peer, protocolRemedy, "a stream is not valid deflate data"))
	}
	return count, err
}

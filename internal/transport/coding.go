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

// The first byte of a stream names its coding.
const (
	codingPlain   byte = 'p'
	codingDeflate byte = 'd'
)

const (
	windowBytes = 8 << 10  // history kept by a sender; the most that the stateless encoder uses
	chunkBytes  = 16 << 10 // the most that is compressed at once
	smallBytes  = 2 << 10  // batches below this see only as much history: the encoder indexes it anew each time
	readBytes   = 4 << 10  // a reader's buffer; longer lines are gathered apart
	keepBytes   = 64 << 10 // buffers beyond this are given back after use

	bombAllowance = 1 << 20 // decoded bytes that any stream may reach
	bombRatio     = 256     // decoded bytes allowed for each byte on the wire beyond the allowance
)

const garbageRemedy = "find out who runs at the remote address; the stream was closed and nothing was changed"

// lineWriter codes batches of lines onto a stream. It keeps no more than its
// window between batches.
type lineWriter struct {
	writer   io.Writer
	compress bool
	started  bool // whether the coding byte is written
	history  []byte
	input    []byte
	output   bytes.Buffer
}

// newLineWriter returns a writer for a fresh stream.
func newLineWriter(writer io.Writer, compression Compression) *lineWriter {
	return &lineWriter{writer: writer, compress: compression == CompressionDeflate}
}

// writeLines writes a batch and flushes it. Small lines share a write.
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
	if cap(w.input) > readBytes {
		w.input = nil
	}
	return err
}

// flush writes the input gathered.
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
	if w.output.Cap() > readBytes {
		w.output = bytes.Buffer{}
	}
	return err
}

// start puts the coding byte before the first output.
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

// encode appends the coded input to the output.
func (w *lineWriter) encode() error {
	if !w.compress {
		w.output.Write(w.input)
		return nil
	}
	history := w.history
	if len(w.input) < smallBytes && len(history) > smallBytes {
		history = history[len(history)-smallBytes:]
	}
	if err := flate.StatelessDeflate(&w.output, w.input, false, history); err != nil {
		return err
	}
	w.remember(w.input)
	return nil
}

// remember keeps the last windowBytes of what was written.
func (w *lineWriter) remember(written []byte) {
	if len(written) >= windowBytes {
		w.history = append(w.history[:0], written[len(written)-windowBytes:]...)
		return
	}
	if excess := len(w.history) + len(written) - windowBytes; excess > 0 {
		w.history = append(w.history[:0], w.history[excess:]...)
	}
	w.history = append(w.history, written...)
}

// lineReader decodes lines from a stream within bounds.
type lineReader struct {
	buffered *bufio.Reader
	long     []byte
	maximum  int
	budget   *budget
	reserved int64
}

// budget bounds the memory of long lines over all streams of a node.
type budget struct {
	most int64
	used atomic.Int64
}

// reserve takes bytes from the budget and reports whether they were left.
func (b *budget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.most {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// newLineReader reads the coding byte and returns a reader of lines of at most
// maximum bytes. received tells the bytes that have come over the wire.
func newLineReader(reader io.Reader, maximum int, budget *budget, received func() int64) (*lineReader, error) {
	var coding [1]byte
	if _, err := io.ReadFull(reader, coding[:]); err != nil {
		return nil, err
	}
	switch coding[0] {
	case codingPlain:
	case codingDeflate:
		reader = &guardedReader{reader: flate.NewReader(bufio.NewReaderSize(reader, readBytes)), received: received}
	default:
		return nil, refused(causeGarbage, fault.New(fault.Peer, garbageRemedy, "a stream starts with byte %#x, which names no coding", coding[0]))
	}
	return &lineReader{buffered: bufio.NewReaderSize(reader, readBytes), maximum: maximum, budget: budget}, nil
}

// next returns the next line, newline included. It is valid until the next call.
func (r *lineReader) next() ([]byte, error) {
	r.release()
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(r.long)+len(part) > r.maximum {
			return nil, refused(causeTooLong, fault.New(fault.Peer, garbageRemedy, "a line has more than %d bytes", r.maximum))
		}
		if err == nil && len(r.long) == 0 {
			return part, nil
		}
		if !r.reserveFor(len(r.long) + len(part)) {
			return nil, refused(causeMemory, fault.New(fault.Overload, "find out which peers send long lines; the stream may come back",
				"long lines of all peers together exceed %d bytes", r.budget.most))
		}
		r.long = append(r.long, part...)
		if err == nil {
			return r.long, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// reserveFor takes what a line of that length needs from the shared budget. A
// buffer that is kept between lines costs nothing.
func (r *lineReader) reserveFor(length int) bool {
	if length <= keepBytes || int64(length) <= r.reserved {
		return true
	}
	steps := int64(length/keepBytes + 1)
	more := steps*keepBytes - r.reserved
	if !r.budget.reserve(more) {
		return false
	}
	r.reserved += more
	return true
}

// release gives a long buffer and its part of the budget back. It is also
// called when the stream has ended.
func (r *lineReader) release() {
	if cap(r.long) > keepBytes {
		r.long = nil
	}
	r.long = r.long[:0]
	if r.reserved > 0 {
		r.budget.used.Add(-r.reserved)
		r.reserved = 0
	}
}

// guardedReader refuses a stream that decodes to far more than was sent.
type guardedReader struct {
	reader   io.Reader
	received func() int64
	decoded  int64
}

// Read implements io.Reader.
func (g *guardedReader) Read(buffer []byte) (int, error) {
	count, err := g.reader.Read(buffer)
	g.decoded += int64(count)
	if g.decoded > bombAllowance+bombRatio*g.received() {
		return 0, refused(causeBomb, fault.New(fault.Peer, garbageRemedy, "a stream decodes to more than %d times its bytes", bombRatio))
	}
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) {
		err = refused(causeGarbage, fault.Wrap(err, fault.Peer, garbageRemedy, "a stream is not valid deflate data"))
	}
	return count, err
}

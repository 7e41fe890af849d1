package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"

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
	history  []byte
	input    []byte
	output   bytes.Buffer
}

// newLineWriter returns a writer for a fresh stream.
func newLineWriter(writer io.Writer, compression Compression) *lineWriter {
	return &lineWriter{writer: writer, compress: compression == CompressionDeflate}
}

// coding returns the stream's first byte.
func (w *lineWriter) coding() byte {
	if w.compress {
		return codingDeflate
	}
	return codingPlain
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
	defer func() { w.input = w.input[:0] }()
	if !w.compress {
		_, err := w.writer.Write(w.input)
		return err
	}
	w.output.Reset()
	if err := flate.StatelessDeflate(&w.output, w.input, false, w.history); err != nil {
		return err
	}
	w.remember(w.input)
	_, err := w.writer.Write(w.output.Bytes())
	if w.output.Cap() > readBytes {
		w.output = bytes.Buffer{}
	}
	return err
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
}

// newLineReader reads the coding byte and returns a reader of lines of at most
// maximum bytes. received tells the bytes that have come over the wire.
func newLineReader(reader io.Reader, maximum int, received func() int64) (*lineReader, error) {
	var coding [1]byte
	if _, err := io.ReadFull(reader, coding[:]); err != nil {
		return nil, err
	}
	switch coding[0] {
	case codingPlain:
		return &lineReader{buffered: bufio.NewReaderSize(reader, readBytes), maximum: maximum}, nil
	case codingDeflate:
		inflated := &guardedReader{reader: flate.NewReader(bufio.NewReaderSize(reader, readBytes)), received: received}
		return &lineReader{buffered: bufio.NewReaderSize(inflated, readBytes), maximum: maximum}, nil
	}
	return nil, fault.New(fault.Peer, garbageRemedy, "a stream starts with byte %#x, which names no coding", coding[0])
}

// next returns the next line, newline included. It is valid until the next call.
func (r *lineReader) next() ([]byte, error) {
	if cap(r.long) > keepBytes {
		r.long = nil
	}
	r.long = r.long[:0]
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(r.long)+len(part) > r.maximum {
			return nil, fault.New(fault.Peer, garbageRemedy, "a line has more than %d bytes", r.maximum)
		}
		if err == nil && len(r.long) == 0 {
			return part, nil
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
		return 0, fault.New(fault.Peer, garbageRemedy, "a stream decodes to more than %d times its bytes", bombRatio)
	}
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) {
		err = fault.Wrap(err, fault.Peer, garbageRemedy, "a stream is not valid deflate data")
	}
	return count, err
}

// newSmallReader returns a buffered reader for the little that a listener
// answers.
func newSmallReader(reader io.Reader) *bufio.Reader {
	const bytes = 512
	return bufio.NewReaderSize(reader, bytes)
}

package transport

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/wire"
)

// writeAll encodes batches of lines and returns the stream.
func writeAll(t testing.TB, compression Compression, batches [][][]byte) []byte {
	t.Helper()
	var stream bytes.Buffer
	writer := newLineWriter(&stream, compression)
	for _, batch := range batches {
		must.NoError(t, writer.writeLines(batch))
	}
	return stream.Bytes()
}

// readAll decodes a stream to its end and returns its lines.
func readAll(t testing.TB, stream []byte) [][]byte {
	t.Helper()
	received := func() int64 { return int64(len(stream)) }
	reader, err := newLineReader(bytes.NewReader(stream), wire.MaxLineBytes, &budget{limit: 1 << 30}, received)
	must.NoError(t, err)
	var lines [][]byte
	for {
		line, err := reader.next()
		if err != nil {
			must.True(t, err == io.EOF || err == io.ErrUnexpectedEOF)
			return lines
		}
		lines = append(lines, bytes.Clone(line))
	}
}

func TestLineCodingRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	lengths := []int{1, 2, 3, 20, 300, smallBatchBytes - 1, smallBatchBytes, readBufferBytes, windowBytes, chunkBytes - 1, chunkBytes, chunkBytes + 1, 130 << 10}
	for range 30 {
		var batches [][][]byte
		var written [][]byte
		for range 1 + random.IntN(8) {
			var batch [][]byte
			for range 1 + random.IntN(4) {
				line := make([]byte, lengths[random.IntN(len(lengths))])
				for index := range line {
					line[index] = "abcdef\"{}:,"[random.IntN(11)]
				}
				line[len(line)-1] = '\n'
				batch = append(batch, line)
			}
			batches = append(batches, batch)
			written = append(written, batch...)
		}
		for _, compression := range []Compression{CompressionDeflate, CompressionNone} {
			must.True(t, slices.EqualFunc(written, readAll(t, writeAll(t, compression, batches)), bytes.Equal))
		}
	}
}

func FuzzLineReader(f *testing.F) {
	batches := [][][]byte{{[]byte("{}\n")}, {[]byte(strings.Repeat("x", 9000) + "\n")}}
	f.Add(writeAll(f, CompressionDeflate, batches))
	f.Add(writeAll(f, CompressionNone, batches))
	f.Add([]byte("d\xff\x00garbage"))
	f.Add([]byte("p"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		shared := &budget{limit: 1 << 20}
		reader, err := newLineReader(bytes.NewReader(stream), 1<<20, shared, func() int64 { return int64(len(stream)) })
		if err != nil {
			return
		}
		for err == nil {
			var line []byte
			line, err = reader.next()
			must.True(t, len(line) <= 1<<20)
		}
		reader.release()
		must.Eq(t, 0, shared.used.Load())
	})
}

// largePush returns a message with a complete version of 400 workers in 29 services.
func largePush(b *testing.B) []byte {
	document := &declaration.Document{Epoch: 1}
	for index := range 400 {
		document.Workers = append(document.Workers, declaration.Worker{
			Name: fmt.Sprintf("service-%d-%d", index%29, index), Service: fmt.Sprintf("service-%d", index%29), Zone: fmt.Sprintf("zone-%d", index%5),
			Slots: 6, Connections: 130, Labels: declaration.Labels{"shift": "day", "rack": fmt.Sprint(index % 40)},
		})
	}
	set, err := snapshot.Build(document, 7, nil)
	must.NoError(b, err)
	line, err := wire.Encode(wire.Envelope{From: "edappally-storefront-1", Push: &wire.Push{Delta: snapshot.Diff(snapshot.Empty(), set)}})
	must.NoError(b, err)
	return line
}

// smallLines returns claim requests with random keys.
func smallLines(b *testing.B) [][]byte {
	random := rand.New(rand.NewPCG(5, 6))
	var lines [][]byte
	for number := range uint64(256) {
		key := make([]byte, 16)
		for index := range key {
			key[index] = byte(random.Uint32())
		}
		request := &wire.ClaimRequest{Kind: wire.ClaimPrepare, Number: number, Service: "storefront", Key: hex.EncodeToString(key), Holder: "edappally-storefront-1", TTLMS: 600000}
		line, err := wire.Encode(wire.Envelope{From: "edappally-storefront-1", ClaimRequest: request})
		must.NoError(b, err)
		lines = append(lines, line)
	}
	return lines
}

func BenchmarkLineWriter(b *testing.B) {
	for name, lines := range map[string][][]byte{"push": {largePush(b)}, "small": smallLines(b)} {
		b.Run(name, func(b *testing.B) {
			var stream bytes.Buffer
			writer := newLineWriter(&stream, CompressionDeflate)
			inputBytes, outputBytes := 0, 0
			for index := 0; b.Loop(); index++ {
				line := lines[index%len(lines)]
				stream.Reset()
				must.NoError(b, writer.writeLines([][]byte{line}))
				inputBytes += len(line)
				outputBytes += stream.Len()
			}
			b.SetBytes(int64(len(lines[0])))
			b.ReportMetric(float64(inputBytes)/float64(outputBytes), "ratio")
		})
	}
}

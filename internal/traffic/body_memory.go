package traffic

import (
	"io"
	"sync"
)

// bodyMemory bounds the memory of the bodies that a node buffers: in all, and for each client. A
// body for which there is no room is streamed. Bodies of up to directBody bytes are always buffered
// and not counted. Request bodies are buffered so that they can be sent again; a streamed one can be
// offered to other nodes only until it is read. Responses without a length are buffered so that one
// that breaks off can be turned into a failure. It is safe for concurrent use.
type bodyMemory struct {
	total, perClient int64 // bounds in bytes

	mutex    sync.Mutex
	used     int64
	byClient map[string]int64 // by IP address; no entry: 0
}

// Bounds of the memory for buffered bodies, in bytes.
const (
	maxBodyMemory       = 16 << 20 // of requests
	maxClientBodyMemory = maxBodyMemory / 2
	maxUnframedMemory   = 16 << 20 // of responses without a length
)

func newBodyMemory(total, perClient int64) *bodyMemory {
	return &bodyMemory{total: total, perClient: perClient, byClient: map[string]int64{}}
}

// bytes returns the memory in use.
func (m *bodyMemory) bytes() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return int(m.used)
}

// reservation returns an empty reservation for a client's request.
func (m *bodyMemory) reservation(client string) *bodyReservation {
	return &bodyReservation{memory: m, client: client}
}

// bodyReservation is the memory reserved for the body of one request.
type bodyReservation struct {
	memory *bodyMemory
	client string
	bytes  int64
}

// grow reserves more bytes and reports whether there was room for them.
func (r *bodyReservation) grow(bytes int64) bool {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.used+bytes > m.total || m.byClient[r.client]+bytes > m.perClient {
		return false
	}
	m.used += bytes
	m.byClient[r.client] += bytes
	r.bytes += bytes
	return true
}

// release returns the reserved memory.
func (r *bodyReservation) release() {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= r.bytes
	m.byClient[r.client] -= r.bytes
	if m.byClient[r.client] == 0 {
		delete(m.byClient, r.client)
	}
	r.bytes = 0
}

// readInto buffers a body of unknown length of up to maximum bytes, as far as there is room for it.
// ended reports whether the whole body was read. The buffer grows by doubling from directBody bytes;
// maximum must be one of its sizes.
func (r *bodyReservation) readInto(source io.Reader, maximum int) (buffered []byte, ended bool, err error) {
	buffered = make([]byte, 0, directBody)
	for {
		count, err := source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+count]
		switch {
		case err == io.EOF:
			return buffered, true, nil
		case err != nil:
			return nil, false, err
		case len(buffered) < cap(buffered):
			continue
		case cap(buffered) >= maximum || !r.grow(int64(cap(buffered))):
			return buffered, false, nil
		}
		buffered = append(make([]byte, 0, 2*cap(buffered)), buffered...)
	}
}

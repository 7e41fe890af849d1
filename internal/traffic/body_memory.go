package traffic

import "sync"

// bodyMemory bounds the memory of the request bodies that a node buffers, so that they can be
// sent again: in all, and for each client. A body for which there is no room is streamed, and
// can then be offered to other nodes only until it is read. Bodies of up to directBody bytes are
// always buffered and not counted. It is safe for concurrent use.
type bodyMemory struct {
	total, perClient int64 // bounds in bytes

	mutex    sync.Mutex
	used     int64
	byClient map[string]int64 // by IP address; no entry: 0
}

// Bounds of the memory for buffered request bodies, in bytes.
const (
	maxBodyMemory       = 16 << 20
	maxClientBodyMemory = maxBodyMemory / 2
)

func newBodyMemory() *bodyMemory {
	return &bodyMemory{total: maxBodyMemory, perClient: maxClientBodyMemory, byClient: map[string]int64{}}
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

package traffic

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// However reservations grow and end, the memory in use stays within the bounds, in all and for
// each client, and all of it is returned.
func TestBodyMemoryStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := &bodyMemory{total: 100, perClient: 60, byClient: map[string]int64{}}
		held := map[*bodyReservation]int64{}
		used := func(client string) (total int64) {
			for each, bytes := range held {
				if client == "" || each.client == client {
					total += bytes
				}
			}
			return total
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			client := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")
			bytes := rapid.Int64Range(1, 80).Draw(t, "bytes")
			fits := used("")+bytes <= 100 && used(client)+bytes <= 60
			reserved := memory.reservation(client)
			must.Eq(t, fits, reserved.grow(bytes))
			if fits {
				held[reserved] = bytes
			}
			if rapid.Bool().Draw(t, "release") {
				for each := range held {
					each.release()
					delete(held, each)
					break
				}
			}
			must.Eq(t, used(""), int64(memory.bytes()))
		}
		for each := range held {
			each.release()
		}
		must.Zero(t, memory.bytes())
		must.MapEmpty(t, memory.byClient)
	})
}

// uploadFramings are the ways to send a body, with its length or in chunks.
var uploadFramings = map[string]func(text string) io.Reader{
	"length": func(text string) io.Reader { return strings.NewReader(text) },
	"chunks": inChunks,
}

// An upload for which there is no memory reaches the worker whole, and all memory is returned.
func TestUploadsBeyondTheBodyMemoryAreServed(t *testing.T) {
	text := strings.Repeat("artwork ", 1<<15)
	for name, body := range uploadFramings {
		for _, total := range []int64{0, 40 << 10, maxBodyMemory} {
			t.Run(fmt.Sprint(name, ", ", total), func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				memory := m.nodes[0].out.bodyMemory
				memory.total = total
				must.Eq(t, http.StatusOK, m.sendOrderBody(body(text)).StatusCode)
				_, got := m.nodes[0].worker.lastRequest()
				must.True(t, got == text)
				waitFor(t, func() bool { return memory.bytes() == 0 })
			})
		}
	}
}

// A buffered upload that a worker rejects early is offered to a second one; an upload beyond the
// memory is not buffered, so that only one worker gets it. Fault: any number of bodies of up to
// 4 MB was buffered, and with 500 uploads in chunks at once a node took 2.7 GB.
func TestUploadsBeyondTheBodyMemoryAreNotBuffered(t *testing.T) {
	text := strings.Repeat("artwork ", 1<<15)
	for name, body := range uploadFramings {
		for total, offers := range map[int64]int{0: 1, 40 << 10: 1, maxBodyMemory: 2} {
			t.Run(fmt.Sprint(name, ", ", total), func(t *testing.T) {
				m := newCatalogMesh(t, 3)
				m.nodes[0].out.bodyMemory.total = total
				worker := listenPartially(m, func(conn net.Conn, _ *http.Request) { rejectUpload(conn) })
				must.Eq(t, http.StatusServiceUnavailable, m.sendOrderBody(body(text)).StatusCode)
				must.Len(t, offers, worker.uploads())
			})
		}
	}
}

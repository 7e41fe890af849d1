package traffic

import (
	"io"
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

// An upload for which there is no memory is streamed and reaches the worker whole. Fault: any
// number of bodies of up to 4 MB was buffered; with 500 uploads in chunks at once a node took
// 2.7 GB.
func TestUploadsBeyondTheBodyMemoryAreStreamed(t *testing.T) {
	text := strings.Repeat("artwork ", 1<<15)
	for name, body := range map[string]func() io.Reader{
		"length": func() io.Reader { return strings.NewReader(text) },
		"chunks": func() io.Reader { return io.MultiReader(strings.NewReader(text)) },
	} {
		for _, total := range []int64{0, 40 << 10, maxBodyMemory} {
			t.Run(name, func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				memory := m.nodes[0].out.bodyMemory
				memory.total = total
				request, err := http.NewRequest("POST", m.nodes[0].outbound+"/order/", body())
				must.NoError(t, err)
				request.Host = "shop.example"
				request.Header.Set(testProtocol.RequestID, "r-upload")
				response, err := m.client.Do(request)
				must.NoError(t, err)
				must.NoError(t, response.Body.Close())
				must.Eq(t, http.StatusOK, response.StatusCode)
				_, got := m.nodes[0].worker.lastRequest()
				must.True(t, got == text)
				waitFor(t, func() bool { return memory.bytes() == 0 })
			})
		}
	}
}

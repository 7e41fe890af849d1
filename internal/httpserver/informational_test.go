package httpserver

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Informational responses on a kept connection are written under the deadline of their own
// request. Fault: that of the request before it still held, so that after a pause 102 was lost
// and 100 Continue failed, which failed the request.
func TestInformationalResponsesHaveTheirOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, nil, func(w http.ResponseWriter, r *http.Request) {
			must.NoError(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second)))
			w.WriteHeader(http.StatusProcessing)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		for range 3 {
			c.send("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
			for _, status := range []int{http.StatusProcessing, http.StatusContinue} {
				response, err := http.ReadResponse(c.reader, nil)
				must.NoError(t, err)
				must.Eq(t, status, response.StatusCode)
			}
			c.send("cards")
			response, _ := c.readResponse()
			must.Eq(t, http.StatusOK, response.StatusCode)
			time.Sleep(time.Minute) // longer than the write deadline, shorter than the idle timeout
		}
	})
}

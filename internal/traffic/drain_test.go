package traffic

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// echoWorker responds with the whole body that it received.
func echoWorker(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// firstHalf and secondHalf make up the body of an upload, which is larger than all buffers on
// its path.
var (
	firstHalf  = strings.Repeat("0123456789abcdef", 1<<15)
	secondHalf = strings.Repeat("fedcba9876543210", 1<<15)
)

// upload is an upload that the test can pause and continue.
type upload struct {
	writer *io.PipeWriter
	answer func() io.Reader
}

func startHalfUpload(t *testing.T, m *mesh) *upload {
	reader, writer := io.Pipe()
	u := &upload{writer: writer, answer: m.startUpload(t, reader)}
	_, err := io.WriteString(writer, firstHalf)
	must.NoError(t, err)
	return u
}

// finish sends the second half and checks that the worker received the whole body.
func (u *upload) finish(t *testing.T) {
	_, err := io.WriteString(u.writer, secondHalf)
	must.NoError(t, err)
	must.NoError(t, u.writer.Close())
	text, err := io.ReadAll(u.answer())
	must.NoError(t, err)
	must.True(t, string(text) == firstHalf+secondHalf, must.Sprintf("response of %d bytes", len(text)))
}

// A drain must wait for an upload in progress and reject new requests.
func TestDrainWaitsForUploads(t *testing.T) {
	m := newMesh(t, echoWorker, nil)
	upload := startHalfUpload(t, m)
	waitFor(t, func() bool { return m.in.Busy() == 1 })
	m.in.Drain()
	m.in.Drain()
	response, _, err := m.call(t, "POST", "/order", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	m.out.Drain()
	stopped, stop := context.WithCancel(t.Context())
	stop()
	must.ErrorIs(t, m.in.Wait(stopped), context.Canceled)
	must.ErrorIs(t, m.out.Wait(stopped), context.Canceled)
	must.Eq(t, 1, m.in.InFlight())
	upload.finish(t)
	must.NoError(t, m.in.Wait(t.Context()))
	must.NoError(t, m.out.Wait(t.Context()))
	must.Zero(t, m.in.InFlight())
}

func TestWaitEndsWithTheLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newInFlightTracker()
		must.True(t, g.begin())
		g.drain()
		must.False(t, g.begin())
		ended := false
		go func() {
			_ = g.wait(t.Context())
			ended = true
		}()
		synctest.Wait()
		must.False(t, ended)
		g.end()
		synctest.Wait()
		must.True(t, ended)
	})
}

// An interrupted upload must not look complete to the worker.
func TestBrokenUploadIsIncompleteAtWorker(t *testing.T) {
	ended := make(chan error, 1)
	m := newMesh(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	}, nil)
	upload := startHalfUpload(t, m)
	_ = upload.writer.CloseWithError(io.ErrUnexpectedEOF)
	must.Error(t, <-ended)
	waitFor(t, func() bool { return m.in.InFlight() == 0 && m.out.InFlight() == 0 })
}

// A refused upload is retried at another node, since none of its body was read.
func TestRefusedUploadIsRetriedAtAnotherNode(t *testing.T) {
	m := newMesh(t, echoWorker, nil)
	draining := NewInbound(Config{Node: "n0", Holder: m.holder})
	draining.Drain()
	drainingServer := serve(t, draining, Limits{})
	defer drainingServer.Close()
	view, _ := m.holder.Current(time.Now())
	endpoints := view.Route("upload").Endpoints[:1]
	near := endpoints[0]
	near.Worker, near.Address = "w0", address(drainingServer.URL)
	far := endpoints[0]
	far.Zone = "z2"
	m.holder.Store(viewOf([]snapshot.Endpoint{near, far}))
	startHalfUpload(t, m).finish(t)
}

// A node whose lease has expired must not run requests.
func TestExpiredLeaseRefusesRequests(t *testing.T) {
	m, worker := newFaultyMesh(t, nil)
	m.holder.Renew(time.Now())
	response, _, err := m.call(t, "POST", "/order?n=a", "")
	must.NoError(t, err)
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Zero(t, worker.runs("a"))
}

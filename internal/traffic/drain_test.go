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

// echoWorker answers with the whole body that it got.
func echoWorker(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// artwork is half of an upload. Together with other it is larger than any
// buffer on the way.
var (
	artwork = strings.Repeat("0123456789abcdef", 1<<15)
	other   = strings.Repeat("fedcba9876543210", 1<<15)
)

// upload is one of which the test decides when it goes on.
type upload struct {
	writer *io.PipeWriter
	answer func() io.Reader
}

func startHalf(t *testing.T, m *mesh) *upload {
	reader, writer := io.Pipe()
	u := &upload{writer: writer, answer: m.startUpload(t, reader)}
	_, err := io.WriteString(writer, artwork)
	must.NoError(t, err)
	return u
}

// finish sends the rest and checks that the worker got all.
func (u *upload) finish(t *testing.T) {
	_, err := io.WriteString(u.writer, other)
	must.NoError(t, err)
	must.NoError(t, u.writer.Close())
	text, err := io.ReadAll(u.answer())
	must.NoError(t, err)
	must.True(t, string(text) == artwork+other, must.Sprintf("answer of %d bytes", len(text)))
}

// A drain ends only after an upload that has begun, and lets nothing new run.
func TestDrainCutsNothing(t *testing.T) {
	m := newMesh(t, echoWorker, nil)
	upload := startHalf(t, m)
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
		g := newGate()
		must.True(t, g.enter())
		g.drain()
		must.False(t, g.enter())
		ended := false
		go func() {
			_ = g.wait(t.Context())
			ended = true
		}()
		synctest.Wait()
		must.False(t, ended)
		g.leave()
		synctest.Wait()
		must.True(t, ended)
	})
}

// An upload that breaks off does not look whole to the worker.
func TestBrokenUploadIsCutAtTheWorker(t *testing.T) {
	ended := make(chan error, 1)
	m := newMesh(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	}, nil)
	upload := startHalf(t, m)
	_ = upload.writer.CloseWithError(io.ErrUnexpectedEOF)
	must.Error(t, <-ended)
	waitFor(t, func() bool { return m.in.InFlight() == 0 && m.out.InFlight() == 0 })
}

// A refused upload goes to another node, since nothing of its body was read.
func TestRefusedUploadIsTriedElsewhere(t *testing.T) {
	m := newMesh(t, echoWorker, nil)
	draining := NewInbound(Config{Node: "n0", Holder: m.holder})
	draining.Drain()
	away := serve(t, draining, Limits{})
	defer away.Close()
	view, _ := m.holder.Current(time.Now())
	endpoints := view.Route("upload").Endpoints[:1]
	near := endpoints[0]
	near.Worker, near.Address = "w0", address(away.URL)
	far := endpoints[0]
	far.Zone = "z2"
	m.holder.Store(viewOf([]snapshot.Endpoint{near, far}))
	startHalf(t, m).finish(t)
}

// An expired lease lets nothing new run.
func TestLostLeaseRefuses(t *testing.T) {
	m, worker := newFaultyMesh(t, nil)
	m.holder.Renew(time.Now())
	response, _, err := m.call(t, "POST", "/order?n=a", "")
	must.NoError(t, err)
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Zero(t, worker.runs("a"))
}

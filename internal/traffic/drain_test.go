package traffic

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// digestWorker answers with the digest of the body that it got.
func digestWorker(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, hex.EncodeToString(hash.Sum(nil)))
}

// artwork is an upload of which the test decides when it goes on.
type artwork struct {
	data   []byte
	writer *io.PipeWriter
	answer chan *http.Response
}

func startUpload(t *testing.T, m *mesh) *artwork {
	random := rand.New(rand.NewPCG(7, 7))
	data := make([]byte, 1<<20)
	for index := range data {
		data[index] = byte(random.Uint32())
	}
	reader, writer := io.Pipe()
	request, err := http.NewRequest("POST", m.outbound.URL+"/upload", reader)
	must.NoError(t, err)
	upload := &artwork{data: data, writer: writer, answer: make(chan *http.Response, 1)}
	go func() {
		response, _ := m.outbound.Client().Do(request)
		upload.answer <- response
	}()
	_, err = writer.Write(data[:len(data)/2])
	must.NoError(t, err)
	return upload
}

// finish sends the rest and checks that the worker got all.
func (a *artwork) finish(t *testing.T) {
	_, err := a.writer.Write(a.data[len(a.data)/2:])
	must.NoError(t, err)
	must.NoError(t, a.writer.Close())
	response := <-a.answer
	must.NotNil(t, response)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	sum := sha256.Sum256(a.data)
	must.Eq(t, hex.EncodeToString(sum[:]), string(text))
}

// A drain ends only after an upload that has begun, and lets nothing new run.
func TestDrainCutsNothing(t *testing.T) {
	m := newMesh(t, digestWorker, nil)
	upload := startUpload(t, m)
	waitFor(t, func() bool { return m.in.Busy() == 1 })
	m.in.Drain()
	m.in.Drain()
	response, _, err := m.call(t, "POST", "/order", nil)
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
	upload := startUpload(t, m)
	_ = upload.writer.CloseWithError(io.ErrUnexpectedEOF)
	must.Error(t, <-ended)
	waitFor(t, func() bool { return m.in.InFlight() == 0 && m.out.InFlight() == 0 })
}

// A refused upload goes to another node, since nothing of its body was read.
func TestRefusedUploadIsTriedElsewhere(t *testing.T) {
	m := newMesh(t, digestWorker, nil)
	draining := NewInbound(Config{Node: "n0", Holder: m.holder})
	draining.Drain()
	away := serve(t, draining, Limits{})
	defer away.Close()
	view, _ := m.holder.Current(time.Now())
	endpoints := view.Route("upload").Endpoints[:1]
	near := endpoints[0]
	near.Worker, near.Address = "w0", address(away)
	far := endpoints[0]
	far.Zone = "z2"
	m.holder.Store(viewOf([]snapshot.Endpoint{near, far}))
	startUpload(t, m).finish(t)
}

// An expired lease lets nothing new run.
func TestLostLeaseRefuses(t *testing.T) {
	m, worker := newFaultyMesh(t, nil)
	m.holder.Renew(time.Now())
	response, _, err := m.call(t, "POST", "/order?n=a", nil)
	must.NoError(t, err)
	must.Eq(t, "not-run", response.Header.Get(outcome.Header))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Zero(t, worker.runs("a"))
}

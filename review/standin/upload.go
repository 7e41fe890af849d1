package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadBytes = 8 << 20  // below maxBodyBytes, 64 MB
	firstBytes  = 64 << 10 // with which a worker works, while the rest comes in

	holdTime   = 300 * time.Millisecond // after a rejection, until the worker reads on
	windowSize = 64 << 10               // of the workers' connections: links have small windows
)

// artwork returns the body of an upload, which depends on its id.
func artwork(id string) []byte {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), 1))
	body := make([]byte, 0, uploadBytes)
	for len(body) < uploadBytes {
		value := random.Uint64()
		for shift := range 8 {
			body = append(body, byte(value>>(8*shift)))
		}
	}
	return body
}

// uploads is what the workers of the case observe.
type uploads struct {
	record *record

	mutex       sync.Mutex
	bodies      map[string][]byte // by request id: what the client sends; only the latest
	changed     int               // runs whose body was not the one that the client sent
	lastChanged string            // id of the latest of these
	ran         int
	offered     int // to the worker that rejects some
}

// runUpload uploads artwork while one worker rejects long requests before they are in.
func runUpload(record *record, trouble bool) (int, error) {
	m, err := newMesh(record, "storefront", "prepress", "prepress", "prepress")
	if err != nil {
		return failed, err
	}
	defer m.close()
	seen := &uploads{record: record, bodies: map[string][]byte{}}
	for index, each := range m.machines {
		rejects := trouble && index > 0 && index < 3
		each.worker.setHandle(func(conn net.Conn, request *http.Request, _ *bufio.Reader) bool {
			return seen.handle(each.worker, rejects, conn, request)
		})
	}
	m.configure(route{"r-artwork", host, "/artwork/", "upload", 2, 0.8, 1, "prepress", 2})
	if err := m.start(); err != nil {
		return failed, err
	}
	if trouble {
		record.line("%s and %s reject two of five long requests before they are in", m.machines[1].worker.id, m.machines[2].worker.id)
	}
	const count = 40
	served, accepted := 0, 0
	for index := range count {
		id := fmt.Sprintf("artwork-%d", index)
		got := call(record, m.machines[0], http.MethodPost, "/artwork/2f", id, seen.prepare(id), 2*time.Second)
		if got.status == http.StatusOK {
			served++
			accepted += seen.changedLast(id)
		}
	}
	time.Sleep(time.Second)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	record.line("%d of %d uploads served, %d runs, UNASKED: %d of these with another body than the client sent, and %d of those were answered to the client with 200", served, count, seen.ran, seen.changed, accepted)
	switch {
	case served == 0:
		return failed, errors.New("no upload was served")
	case seen.changed > 0:
		return broken, nil
	}
	return held, nil
}

// handle is how a worker of this case handles a request: it works and answers once the first part
// of the body is in, and reads on.
func (u *uploads) handle(w *worker, rejects bool, conn net.Conn, request *http.Request) bool {
	_ = conn.(*net.TCPConn).SetReadBuffer(windowSize)
	id := request.Header.Get(requestIDHeader)
	first := make([]byte, firstBytes)
	count, err := io.ReadFull(request.Body, first)
	if err != nil {
		u.record.line("%s has read %d bytes of %s when its body ends: %v", w.id, count, id, err)
		return false
	}
	if rejects && u.rejectsNext() {
		u.record.line("%s rejects %s after %d bytes: 503, not executed", w.id, id, count)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nX-Sliphead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestIDHeader, id)
		time.Sleep(holdTime)
		_, _ = io.Copy(io.Discard, request.Body)
		return false
	}
	w.begin(request)
	w.respond(conn, request)
	sent := u.body(id)
	u.count(w, id, sent, first)
	rest, err := io.ReadAll(request.Body)
	if err != nil {
		u.record.line("%s: the body of %s ends after %d of %d bytes: %v", w.id, id, count+len(rest), request.ContentLength, err)
		return false
	}
	if !bytes.Equal(rest, sent[firstBytes:]) {
		u.record.line("%s: the rest of the body of %s is not the one that the client sent", w.id, id)
	}
	return true
}

func (u *uploads) rejectsNext() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.offered++
	return u.offered%5 < 2
}

// count counts a run, and says where in the client's body the worker's bytes stand if they are not
// its first ones.
func (u *uploads) count(w *worker, id string, sent, got []byte) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.ran++
	if bytes.HasPrefix(sent, got) {
		return
	}
	const compared = 256
	u.changed++
	u.lastChanged = id
	u.record.line("UNASKED: %s runs %s, and the body that it gets begins at byte %d of what the client sent", w.id, id, bytes.Index(sent, got[:compared]))
}

// prepare returns the body of an upload that is about to be sent.
func (u *uploads) prepare(id string) []byte {
	body := artwork(id)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.bodies = map[string][]byte{id: body}
	return body
}

// body returns what the client sends as the body of an upload.
func (u *uploads) body(id string) []byte {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.bodies[id]
}

// changedLast returns 1 if the latest run with another body was of this upload, else 0.
func (u *uploads) changedLast(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.lastChanged == id {
		return 1
	}
	return 0
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Headers of the platform.
const (
	requestIDHeader = "X-Sliphead-Request-Id"
	targetHeader    = "X-Sliphead-Target-Instance"
	callerHeader    = "X-Sliphead-Caller-Service"
)

// worker is a stand-in for an application worker.
type worker struct {
	id, service, zone, address string
	record                     *record

	mutex  sync.Mutex
	handle func(conn net.Conn, request *http.Request, reader *bufio.Reader) (keep bool) // nil: run and respond
	runs   []run
}

// run is one request that a worker has begun to work on.
type run struct{ id, method, target, caller string }

func newWorker(record *record, id, service, zone, address string) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, address: address, record: record}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w, nil
}

// entry is the worker's own entry in the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1",
		"capacity": 6, "state": state, "coldRemainingS": 0, "sequence": 1,
	}
}

// setHandle sets how requests for this worker are handled; nil: run and respond.
func (w *worker) setHandle(handle func(net.Conn, *http.Request, *bufio.Reader) bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handle = handle
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Sliphead-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if request.Header.Get(targetHeader) != w.id {
			w.record.line("%s (%s) answers 421 to %s", w.id, w.service, request.Header.Get(requestIDHeader))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Sliphead-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id)
			return
		}
		w.mutex.Lock()
		handle := w.handle
		w.mutex.Unlock()
		if handle == nil {
			handle = w.runWhole
		}
		if !handle(conn, request, reader) {
			return
		}
	}
}

// runWhole reads the whole body, runs the request and responds.
func (w *worker) runWhole(conn net.Conn, request *http.Request, _ *bufio.Reader) bool {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	w.begin(request)
	w.respond(conn, request)
	return true
}

// begin records that the worker begins to work on a request.
func (w *worker) begin(request *http.Request) {
	started := run{request.Header.Get(requestIDHeader), request.Method, request.URL.RequestURI(), request.Header.Get(callerHeader)}
	w.mutex.Lock()
	w.runs = append(w.runs, started)
	w.mutex.Unlock()
	w.record.line("%s (%s) runs %s %s %s", w.id, w.service, started.id, started.method, started.target)
}

// respond writes the worker's signed response.
func (w *worker) respond(conn net.Conn, request *http.Request) {
	id := request.Header.Get(requestIDHeader)
	text := w.service + " answers " + id
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sliphead-Response-Signature: %s.%s\r\nX-Sliphead-Server-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
		requestIDHeader, id, w.id, id, len(text), text)
}

// runsOf returns this worker's runs whose id begins with a prefix.
func (w *worker) runsOf(prefix string) []run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []run
	for _, each := range w.runs {
		if strings.HasPrefix(each.id, prefix) {
			found = append(found, each)
		}
	}
	return found
}

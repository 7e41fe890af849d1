package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workTime   = 1200 * time.Millisecond // of one renewal
	leaveAfter = 300 * time.Millisecond  // when clients leave, if they do
	lateAfter  = 500 * time.Millisecond  // after its client has left, a request is late at a worker
	fewLate    = 5                       // "more than a few requests"
	renewals   = 18                      // sent at once: six run, the others wait for a slot
)

// departures is when clients left, and which requests reached a worker late after that.
type departures struct {
	record *record

	mutex sync.Mutex
	left  map[string]time.Time // by request id
	late  map[string]int       // by kind of connection
}

// runGone sends renewals whose clients leave while their requests wait for a slot. Half of the
// clients send Connection: close, as clients do that open a new connection for each request.
func runGone(record *record, trouble bool) (int, error) {
	m, err := newMesh(record, "prepress", "storefront")
	if err != nil {
		return failed, err
	}
	defer m.close()
	seen := &departures{record: record, left: map[string]time.Time{}, late: map[string]int{}}
	for _, each := range m.machines {
		each.worker.setHandle(func(conn net.Conn, request *http.Request, _ *bufio.Reader) bool {
			return seen.handle(each.worker, conn, request)
		})
	}
	m.configure(route{"r-renewal", host, "/renewals/", "unsafe", 6, 5, 1, "storefront", 2})
	if err := m.start(); err != nil {
		return failed, err
	}
	served := 0
	for round := range 3 {
		for _, kind := range []string{"close", "kept"} {
			served += seen.sendRenewals(m.machines[0], kind, round, trouble)
			time.Sleep(3 * workTime) // all that are still waiting get their slot
		}
	}
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	record.line("%d served; GONE: %d requests with Connection: close and %d others reached a worker over %s after their clients had left", served, seen.late["close"], seen.late["kept"], lateAfter)
	switch {
	case served == 0:
		return failed, errors.New("no renewal was served")
	case seen.late["close"]+seen.late["kept"] > fewLate:
		return broken, nil
	}
	return held, nil
}

// handle works on a request for workTime, or until its connection closes.
func (d *departures) handle(w *worker, conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(requestIDHeader)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	w.begin(request)
	d.arrived(id)
	time.Sleep(workTime)
	w.respond(conn, request)
	return true
}

func (d *departures) arrived(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	left, gone := d.left[id]
	if since := time.Since(left); gone && since > lateAfter {
		kind, _, _ := strings.Cut(id, "-")
		d.late[kind]++
		d.record.line("GONE: %s reaches a worker %s after its client has left", id, since.Round(time.Millisecond))
	}
}

// sendRenewals sends renewals at once and returns how many were served. With trouble, the clients
// whose requests have no answer after leaveAfter close their connections, except the first ones.
func (d *departures) sendRenewals(to *machine, kind string, round int, trouble bool) (served int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for index := range renewals {
		id := fmt.Sprintf("%s-%d-%d", kind, round, index)
		leaves := trouble && index >= 6
		group.Go(func() {
			status := d.renew(to, id, kind == "close", leaves)
			mutex.Lock()
			defer mutex.Unlock()
			if status == http.StatusOK {
				served++
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return served
}

// renew sends one renewal on a new connection and returns the status of the answer, 0 for none.
func (d *departures) renew(to *machine, id string, closes, leaves bool) int {
	conn, err := net.DialTimeout("tcp", to.outbound(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	const body = `{"renewal":1}`
	connection := ""
	if closes {
		connection = "Connection: close\r\n"
	}
	d.record.line("client sends %s, Connection: close %t", id, closes)
	_, _ = fmt.Fprintf(conn, "POST /renewals/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Sliphead-Deadline-Ms: 6000\r\n%sContent-Length: %d\r\n\r\n%s",
		host, requestIDHeader, id, connection, len(body), body)
	wait := 7 * time.Second
	if leaves {
		wait = leaveAfter
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		d.mutex.Lock()
		d.left[id] = time.Now()
		d.mutex.Unlock()
		d.record.line("client leaves without an answer for %s: %v", id, err)
		return 0
	}
	d.record.line("client gets %d for %s", response.StatusCode, id)
	return response.StatusCode
}

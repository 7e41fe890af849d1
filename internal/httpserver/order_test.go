package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// plannedRequest is one request and the behavior of its handler.
type plannedRequest struct {
	safe            bool
	body            int // bytes
	chunks          bool
	duration        time.Duration
	repetitions     int // repetitions of the index in the response body
	chunkedResponse bool
	closes          bool
	aborts          bool
	pause           time.Duration // before the request is sent
}

func drawPlan(t *rapid.T) []plannedRequest {
	one := rapid.Custom(func(t *rapid.T) plannedRequest {
		rare := func(label string) bool { return rapid.IntRange(0, 9).Draw(t, label) == 0 }
		p := plannedRequest{
			safe:            rapid.IntRange(0, 3).Draw(t, "safe") > 0,
			duration:        time.Duration(rapid.IntRange(0, 5).Draw(t, "runs")) * time.Second,
			repetitions:     rapid.SampledFrom([]int{0, 1, 100, 3 * writerSize}).Draw(t, "answers"),
			chunkedResponse: rapid.Bool().Draw(t, "streams"),
			closes:          rare("closes"),
			aborts:          rare("breaks"),
			pause:           time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * time.Second,
		}
		if !p.safe {
			p.body = rapid.SampledFrom([]int{0, 5, 2 * readerSize}).Draw(t, "body")
			p.chunks = rapid.Bool().Draw(t, "chunks")
		}
		return p
	})
	return rapid.SliceOfN(one, 1, 12).Draw(t, "requests")
}

func (p plannedRequest) text(index int) string {
	switch {
	case p.safe:
		return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", index)
	case p.chunks && p.body > 0:
		return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", index, p.body, strings.Repeat("b", p.body))
	default:
		return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", index, p.body, strings.Repeat("b", p.body))
	}
}

// want is the expected body of the response.
func (p plannedRequest) want(index int) string {
	return strings.Repeat(strconv.Itoa(index)+";", p.repetitions)
}

// planHandler handles planned requests and records which of them ran.
type planHandler struct {
	plan          []plannedRequest
	mutex         sync.Mutex
	ran           map[int]int
	running       int
	runningUnsafe int
	problem       string
}

func (w *planHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	index, _ := strconv.Atoi(request.URL.Path[1:])
	p := w.plan[index]
	w.enter(index, p)
	defer w.leave(p)
	body, err := io.ReadAll(request.Body)
	if err == nil && len(body) != p.body {
		w.recordProblem("request %d arrived with a body of %d bytes", index, len(body))
	}
	select {
	case <-time.After(p.duration):
	case <-request.Context().Done():
		return
	}
	if p.closes {
		writer.Header().Set("Connection", "close")
	}
	if !p.chunkedResponse {
		writer.Header().Set("Content-Length", strconv.Itoa(len(p.want(index))))
	}
	_, _ = io.WriteString(writer, p.want(index))
	if p.aborts {
		panic(http.ErrAbortHandler)
	}
}

func (w *planHandler) enter(index int, p plannedRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ran[index]++
	w.running++
	if !p.safe {
		w.runningUnsafe++
	}
	if w.runningUnsafe > 0 && w.running > 1 {
		w.problem = fmt.Sprintf("request %d ran concurrently with one that has to run alone", index)
	}
}

func (w *planHandler) leave(p plannedRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
	if !p.safe {
		w.runningUnsafe--
	}
}

func (w *planHandler) recordProblem(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.problem = fmt.Sprintf(format, args...)
}

// rejectClosing makes the server reject requests that arrive after a response that closes the
// connection.
func rejectClosing(server *Server) {
	server.RejectClosing = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}

// hasRun reports whether a request has started.
func (w *planHandler) hasRun(index int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ran[index] > 0
}

// runPlan sends the planned requests, reads the responses and returns the first problem found,
// "" if there is none.
func runPlan(t *testing.T, plan []plannedRequest, change func(*Server)) string {
	handler := &planHandler{plan: plan, ran: map[int]int{}}
	c := dial(t, change, handler.ServeHTTP)
	sent := make(chan struct{})
	defer func() { _ = c.conn.Close(); <-sent }()
	go func() {
		defer close(sent)
		for index, p := range plan {
			time.Sleep(p.pause)
			if _, err := io.WriteString(c.conn, p.text(index)); err != nil {
				return
			}
		}
	}()
	answered, closed := 0, false
	for answered < len(plan) && !closed {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			break
		}
		refused := response.StatusCode == http.StatusServiceUnavailable
		if refused && handler.hasRun(answered) {
			return fmt.Sprintf("request %d ran and was rejected", answered)
		}
		if !refused && string(body) != plan[answered].want(answered) {
			return fmt.Sprintf("response %d does not belong to its request", answered)
		}
		answered++
		closed = response.Close
	}
	if handler.problem != "" {
		return handler.problem
	}
	return handler.check(answered, closed, c.reader)
}

// check compares the requests that ran with the responses.
func (w *planHandler) check(answered int, closed bool, reader *bufio.Reader) string {
	if answered < len(w.plan) {
		if _, err := reader.ReadByte(); err == nil {
			return "received bytes that are not a response"
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	// An aborted response may have been sent in full before the abort.
	broken := slices.ContainsFunc(w.plan[:min(answered+1, len(w.plan))], func(p plannedRequest) bool { return p.aborts })
	if answered < len(w.plan) && !closed && !broken {
		return fmt.Sprintf("the connection ended after %d of %d responses", answered, len(w.plan))
	}
	for index, times := range w.ran {
		if times > 1 {
			return fmt.Sprintf("request %d ran twice", index)
		}
		if index >= answered && !broken {
			return fmt.Sprintf("request %d ran and got no response, after %d responses and a close", index, answered)
		}
		if index > answered && !w.plan[index].safe {
			return fmt.Sprintf("request %d must not be repeated and ran, but counts as not read", index)
		}
	}
	return ""
}

// Responses are sent in the order of the requests, each complete and to its own request;
// requests that have to run alone do; each request that ran gets its response, unless a
// response was aborted; and requests after a response that closes the connection do not run,
// whether they are rejected or not read.
func TestResponsesFollowRequestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var change func(*Server)
		if rapid.Bool().Draw(rt, "refuses") {
			change = rejectClosing
		}
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = runPlan(t, plan, change) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

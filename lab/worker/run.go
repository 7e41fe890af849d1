package worker

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/outcome"
	"sliphead/internal/sleep"
	"sliphead/lab/echo"
)

// Counts holds a worker's totals since its start, and its open connections.
type Counts struct {
	Connections int64 `json:"connections"` // accepted
	Refused     int64 `json:"refused"`     // connections closed at once because too many were open
	Open        int64 `json:"open"`
	Shed        int64 `json:"shed"` // requests rejected before they ran
	Runs        int   `json:"runs"`
}

func (w *Worker) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(Counts{
		Connections: w.listener.accepted.Load(),
		Refused:     w.listener.rejected.Load(),
		Open:        w.listener.open.Load(),
		Shed:        w.shed.Load(),
		Runs:        len(w.Journal.Runs()),
	})
}

// echoedHeaders are copied from a request to its response. A node matches a
// response to its request by them; without them it does not treat a rejected
// request as not run.
var echoedHeaders = []string{outcome.RequestID, "Sliphead-Attempt"}

func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	for _, name := range echoedHeaders {
		if value := request.Header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	if !w.authorized(request) {
		w.reject(writer, request, http.StatusUnauthorized, "present the route's credential")
		return
	}
	if w.sheds() {
		w.reject(writer, request, http.StatusServiceUnavailable, "ask another worker")
		return
	}
	ctx, cancel := withDeadline(request)
	defer cancel()
	if !w.takeSlot(ctx) {
		w.reject(writer, request, http.StatusServiceUnavailable, "all slots are busy; ask another worker")
		return
	}
	defer func() { <-w.slots }()
	w.run(ctx, writer, request)
}

func (w *Worker) authorized(request *http.Request) bool {
	return w.settings.Credential == "" || request.Header.Get("Authorization") == "Bearer "+w.settings.Credential
}

func (w *Worker) sheds() bool {
	now := time.Now()
	return w.draining.Load() || now.Before(w.readyAt) || w.fault.get().sheds(now)
}

// reject responds to a request that was not run.
func (w *Worker) reject(writer http.ResponseWriter, request *http.Request, status int, remedy string) {
	w.shed.Add(1)
	writer.Header().Set(outcome.Header, string(outcome.NotRun))
	writer.Header().Set(outcome.Attempt, request.Header.Get(outcome.Attempt))
	writer.Header().Set("Retry-After", "1")
	http.Error(writer, remedy, status)
}

// withDeadline applies the deadline in the request's header, if any, to its context.
func withDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(request.Header.Get(outcome.Deadline), 10, 64)
	if err != nil || milliseconds <= 0 {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
}

func (w *Worker) takeSlot(ctx context.Context) bool {
	if w.waiting.Add(1) > int64(w.settings.Queue) {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// run executes a request that has a slot.
func (w *Worker) run(ctx context.Context, writer http.ResponseWriter, request *http.Request) {
	activeFault := w.fault.get()
	index := w.Journal.begin(w.settings.Name, request)
	ending := EndingCancelled
	digest := sha256.New()
	var bodyBytes int64
	defer func() { w.Journal.end(index, ending, bodyBytes, hex.EncodeToString(digest.Sum(nil))) }()

	bodyBytes, err := io.Copy(digest, request.Body)
	if err != nil || !w.work(ctx, request, activeFault) {
		panic(http.ErrAbortHandler)
	}
	nested, err := w.makeNestedCall(ctx, request)
	if err != nil {
		ending = EndingDone
		writer.Header().Set("Content-Type", "text/plain")
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	ending = EndingDone
	body := w.responseBody(request, bodyBytes, hex.EncodeToString(digest.Sum(nil)), nested)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	activeFault.respond(writer, request, body)
}

// work waits for the run time of the request and reports whether it passed before ctx ended.
func (w *Worker) work(ctx context.Context, request *http.Request, activeFault Fault) bool {
	duration := w.settings.RunTime
	if micros, err := strconv.ParseInt(request.Header.Get(echo.HeaderRunMicros), 10, 64); err == nil {
		duration = time.Duration(micros) * time.Microsecond
	}
	if activeFault == FaultSlow {
		duration *= slowFactor
	}
	return sleep.For(ctx, duration)
}

func (w *Worker) responseBody(request *http.Request, bodyBytes int64, bodyDigest, nested string) []byte {
	nonce := request.Header.Get(echo.HeaderNonce)
	size, _ := strconv.Atoi(request.Header.Get(echo.HeaderFillerBytes))
	body, _ := json.Marshal(echo.Response{
		Worker:     w.settings.Name,
		Service:    w.settings.Service,
		Nonce:      nonce,
		Path:       request.URL.Path,
		BodyBytes:  bodyBytes,
		BodyDigest: bodyDigest,
		Nested:     nested,
		Filler:     echo.Filler(nonce, min(size, echo.MaxFiller)),
	})
	return body
}

// propagatedHeaders are the headers that a worker has to copy from a request to its
// nested calls.
var propagatedHeaders = []string{
	outcome.RequestID, outcome.Deadline, outcome.RetryBudget, outcome.Depth,
	echo.HeaderNonce, echo.HeaderAttempt, echo.HeaderRunMicros,
}

// makeNestedCall makes the first of the request's nested calls, passes the others
// on with it, and returns the name of the worker that responded. It returns "" if
// there is no nested call.
func (w *Worker) makeNestedCall(ctx context.Context, request *http.Request) (string, error) {
	next, rest, _ := strings.Cut(request.Header.Get(echo.HeaderCalls), ",")
	if next == "" || w.settings.Outbound == "" {
		return "", nil
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.settings.Outbound+next, nil)
	if err != nil {
		return "", err
	}
	for _, name := range propagatedHeaders {
		if value := request.Header.Get(name); value != "" {
			call.Header.Set(name, value)
		}
	}
	if rest != "" {
		call.Header.Set(echo.HeaderCalls, rest)
	}
	response, err := w.client.Do(call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return readNestedResponse(response, call)
}

func readNestedResponse(response *http.Response, call *http.Request) (string, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", nestedError(response, body)
	}
	expectation := echo.Expectation{
		Nonce:      call.Header.Get(echo.HeaderNonce),
		Path:       call.URL.Path,
		BodyDigest: echo.Digest(nil),
	}
	answer, err := expectation.Verify(body)
	return answer.Worker, err
}

// nestedErrorPrefix starts the text of a nested call's error. The levels above
// find the text by it and pass it on unchanged.
const nestedErrorPrefix = "nested call to "

func nestedError(response *http.Response, body []byte) error {
	if index := bytes.Index(body, []byte(nestedErrorPrefix)); index >= 0 {
		return fault.New(fault.Worker, "see the nested call's own log line", "%s", bytes.TrimSpace(body[index:]))
	}
	header := response.Header
	return fault.New(fault.Worker, "see the nested call's own log line", "%s%s ended with status %d, outcome %q, %q",
		nestedErrorPrefix, response.Request.URL.Path, response.StatusCode, header.Get(outcome.Header), header.Get(outcome.Remedy))
}

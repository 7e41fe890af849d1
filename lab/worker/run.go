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

// Counts are a worker's totals.
type Counts struct {
	Connections int64 `json:"connections"` // accepted since the start
	Refused     int64 `json:"refused"`     // connections beyond the bound
	Open        int64 `json:"open"`
	Shed        int64 `json:"shed"` // requests refused before they ran
	Runs        int   `json:"runs"`
}

func (w *Worker) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(Counts{
		Connections: w.listener.accepted.Load(),
		Refused:     w.listener.refused.Load(),
		Open:        w.listener.open.Load(),
		Shed:        w.shed.Load(),
		Runs:        len(w.Journal.Runs()),
	})
}

// echoed are the headers by which a node matches an answer to its request. A
// refusal without them does not count as not run.
var echoed = []string{outcome.RequestID, "Sliphead-Attempt"}

func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	for _, name := range echoed {
		if value := request.Header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	if !w.authorized(request) {
		w.refuse(writer, request, http.StatusUnauthorized, "present the route's credential")
		return
	}
	if w.sheds() {
		w.refuse(writer, request, http.StatusServiceUnavailable, "ask another worker")
		return
	}
	ctx, cancel := withDeadline(request)
	defer cancel()
	if !w.takeSlot(ctx) {
		w.refuse(writer, request, http.StatusServiceUnavailable, "all slots are busy; ask another worker")
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

// refuse answers a request that was not run.
func (w *Worker) refuse(writer http.ResponseWriter, request *http.Request, status int, remedy string) {
	w.shed.Add(1)
	writer.Header().Set(outcome.Header, string(outcome.NotRun))
	writer.Header().Set(outcome.Attempt, request.Header.Get(outcome.Attempt))
	writer.Header().Set("Retry-After", "1")
	http.Error(writer, remedy, status)
}

// withDeadline bounds a request by the deadline that it carries.
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

// run executes a request that holds a slot.
func (w *Worker) run(ctx context.Context, writer http.ResponseWriter, request *http.Request) {
	misbehaviour := w.fault.get()
	index := w.Journal.begin(w.settings.Name, request)
	ending := EndingCancelled
	digest := sha256.New()
	var bodyBytes int64
	defer func() { w.Journal.end(index, ending, bodyBytes, hex.EncodeToString(digest.Sum(nil))) }()

	bodyBytes, err := io.Copy(digest, request.Body)
	if err != nil || !w.work(ctx, request, misbehaviour) {
		panic(http.ErrAbortHandler)
	}
	nested, err := w.callOn(ctx, request)
	if err != nil {
		ending = EndingDone
		writer.Header().Set("Content-Type", "text/plain")
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	ending = EndingDone
	body := w.answerBody(request, bodyBytes, hex.EncodeToString(digest.Sum(nil)), nested)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	misbehaviour.answer(writer, request, body)
}

// work spends the time that the request runs and reports whether it finished.
func (w *Worker) work(ctx context.Context, request *http.Request, misbehaviour Fault) bool {
	duration := w.settings.RunTime
	if micros, err := strconv.ParseInt(request.Header.Get(echo.HeaderRunMicros), 10, 64); err == nil {
		duration = time.Duration(micros) * time.Microsecond
	}
	if misbehaviour == FaultSlow {
		duration *= slowFactor
	}
	return sleep.For(ctx, duration)
}

func (w *Worker) answerBody(request *http.Request, bodyBytes int64, bodyDigest, nested string) []byte {
	nonce := request.Header.Get(echo.HeaderNonce)
	size, _ := strconv.Atoi(request.Header.Get(echo.HeaderAnswerBytes))
	body, _ := json.Marshal(echo.Answer{
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

// passedOn are the headers that a well-behaved worker copies to its own calls.
var passedOn = []string{
	outcome.RequestID, outcome.Deadline, outcome.RetryBudget, outcome.Depth,
	echo.HeaderNonce, echo.HeaderAttempt, echo.HeaderRunMicros,
}

// callOn makes the first of the calls that the request asks for and returns
// the name of the worker that answered.
func (w *Worker) callOn(ctx context.Context, request *http.Request) (string, error) {
	next, rest, _ := strings.Cut(request.Header.Get(echo.HeaderCalls), ",")
	if next == "" || w.settings.Outbound == "" {
		return "", nil
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.settings.Outbound+next, nil)
	if err != nil {
		return "", err
	}
	for _, name := range passedOn {
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
	return readNested(response, call)
}

func readNested(response *http.Response, call *http.Request) (string, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", errNested(response, body)
	}
	expectation := echo.Expectation{
		Nonce:      call.Header.Get(echo.HeaderNonce),
		Path:       call.URL.Path,
		BodyDigest: echo.Digest(nil),
	}
	answer, err := expectation.Verify(body)
	return answer.Worker, err
}

// nestedMark begins the text of a nested call's error, which the levels above
// pass on unchanged.
const nestedMark = "nested call to "

func errNested(response *http.Response, body []byte) error {
	if index := bytes.Index(body, []byte(nestedMark)); index >= 0 {
		return fault.New(fault.Worker, "see the nested call's own log line", "%s", bytes.TrimSpace(body[index:]))
	}
	header := response.Header
	return fault.New(fault.Worker, "see the nested call's own log line", "%s%s ended with status %d, outcome %q, %q",
		nestedMark, response.Request.URL.Path, response.StatusCode, header.Get(outcome.Header), header.Get(outcome.Remedy))
}

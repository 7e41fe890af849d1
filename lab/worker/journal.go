package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sliphead/internal/outcome"
	"sliphead/lab/echo"
)

// Ending is how a run ended.
type Ending string

// The endings of a run.
const (
	EndingRunning   Ending = "running"
	EndingDone      Ending = "done"
	EndingCancelled Ending = "cancelled" // the caller disconnected or the deadline passed during the run
)

// Run is one execution of a request. It begins when the request has a slot.
type Run struct {
	Worker         string    `json:"worker"`
	Nonce          string    `json:"nonce"`
	Attempt        string    `json:"attempt,omitempty"`
	RequestID      string    `json:"requestId,omitempty"`
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Begun          time.Time `json:"begun"`
	Ended          time.Time `json:"ended,omitzero"`
	Ending         Ending    `json:"ending"`
	BodyBytes      int64     `json:"bodyBytes"`
	BodyDigest     string    `json:"bodyDigest,omitempty"`
}

// Journal records every run of a worker. It is safe for concurrent use.
type Journal struct {
	mutex sync.Mutex
	runs  []Run
}

// begin records the start of a run and returns its index.
func (j *Journal) begin(worker string, request *http.Request) int {
	run := Run{
		Worker:         worker,
		Nonce:          request.Header.Get(echo.HeaderNonce),
		Attempt:        request.Header.Get(echo.HeaderAttempt),
		RequestID:      request.Header.Get(outcome.RequestID),
		IdempotencyKey: request.Header.Get(outcome.IdempotencyKey),
		Method:         request.Method,
		Path:           request.URL.Path,
		Begun:          time.Now(),
		Ending:         EndingRunning,
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

// end records the end of the run with that index.
func (j *Journal) end(index int, ending Ending, bodyBytes int64, bodyDigest string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	run := &j.runs[index]
	run.Ended = time.Now()
	run.Ending = ending
	run.BodyBytes = bodyBytes
	run.BodyDigest = bodyDigest
}

// Runs returns a copy of all runs so far.
func (j *Journal) Runs() []Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Run{}, j.runs...)
}

// ServeHTTP writes the runs as a JSON array.
func (j *Journal) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(j.Runs())
}

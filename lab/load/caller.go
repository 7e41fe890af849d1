package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"sliphead/internal/outcome"
	"sliphead/lab/echo"
)

// Target is an edge to which callers submit.
type Target struct {
	Name    string
	Address string // host:port
	// Direct says that the target is a worker; it asks for the credential.
	Direct     bool
	Credential string
}

// Caller submits requests and verifies their answers.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that dials from an address.
func NewCaller(from netip.Addr) *Caller {
	dialer := &net.Dialer{Timeout: dialBound}
	if from.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		MaxIdleConns:        0,
		DisableCompression:  true,
	}}}
}

const (
	dialBound       = 2 * time.Second
	idleConnections = 256
)

// Close drops idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Submission is one request as a caller makes it.
type Submission struct {
	Class  Class
	Nonce  string
	Key    string // idempotency key, "" for none
	Number int    // of the attempt, from 1
	Target Target
	Start  time.Time // intended
}

// Submit makes the request and waits for its end.
func (c *Caller) Submit(ctx context.Context, submission Submission) Attempt {
	class := submission.Class
	attempt := Attempt{
		Class:  class.Name,
		Nonce:  submission.Nonce,
		Number: submission.Number,
		Key:    submission.Key,
		Once:   class.Once || class.Keyed,
		Path:   class.Path,
		Edge:   submission.Target.Name,
		Start:  submission.Start,
	}
	ctx, cancel := context.WithDeadline(ctx, submission.Start.Add(class.deadline()))
	defer cancel()
	response, err := c.send(ctx, submission)
	if err == nil {
		classify(&attempt, response, submission)
	} else {
		attempt.Ending = EndingFailed
		attempt.Cause = err.Error()
	}
	attempt.Latency = time.Since(submission.Start)
	return attempt
}

func (s Submission) expectation() echo.Expectation {
	content := s.content()
	return echo.Expectation{
		Nonce:       s.Nonce,
		Path:        s.Class.Path,
		BodyDigest:  echo.Digest(content),
		BodyBytes:   int64(len(content)),
		AnswerBytes: s.Class.AnswerBytes,
	}
}

// content is the request's body.
func (s Submission) content() []byte {
	return []byte(echo.Filler("body-"+s.Nonce, s.Class.BodyBytes))
}

func (c *Caller) send(ctx context.Context, submission Submission) (*http.Response, error) {
	class := submission.Class
	content := submission.content()
	body := bodyOf(content, time.Duration(class.BodyMillis)*time.Millisecond)
	request, err := http.NewRequestWithContext(ctx, class.Method, "http://"+submission.Target.Address+class.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(content))
	if class.Host != "" {
		request.Host = class.Host
	}
	setHeaders(request.Header, submission)
	return c.client.Do(request)
}

func setHeaders(header http.Header, submission Submission) {
	class := submission.Class
	header.Set(echo.HeaderNonce, submission.Nonce)
	header.Set(echo.HeaderAttempt, strconv.Itoa(submission.Number))
	header.Set(echo.HeaderAnswerBytes, strconv.Itoa(class.AnswerBytes))
	if class.RunMillis > 0 {
		header.Set(echo.HeaderRunMicros, strconv.FormatInt(int64(class.RunMillis*1000), 10))
	}
	if class.Calls != "" {
		header.Set(echo.HeaderCalls, class.Calls)
	}
	if submission.Key != "" {
		header.Set(outcome.IdempotencyKey, submission.Key)
	}
	if submission.Target.Credential != "" {
		header.Set("Authorization", "Bearer "+submission.Target.Credential)
	}
	for name, value := range class.Headers {
		header.Set(name, value)
	}
}

func bodyOf(content []byte, spread time.Duration) io.Reader {
	switch {
	case len(content) == 0:
		return http.NoBody
	case spread <= 0:
		return bytes.NewReader(content)
	}
	return &slowReader{content: content, piece: max(1, len(content)/bodyPieces), pause: spread / bodyPieces}
}

// bodyPieces is the number of pieces in which a spread body is sent.
const bodyPieces = 20

// slowReader gives its content in pieces with a pause before each.
type slowReader struct {
	content []byte
	piece   int
	pause   time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(buffer []byte) (int, error) {
	if len(r.content) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	count := copy(buffer[:min(len(buffer), r.piece)], r.content)
	r.content = r.content[count:]
	return count, nil
}

// classify reads the response and decides how the attempt ended.
func classify(attempt *Attempt, response *http.Response, submission Submission) {
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	told := outcome.Outcome(response.Header.Get(outcome.Header))
	if told == "" && submission.Target.Direct {
		told = outcome.Answered // a worker says only what it did not run
	}
	switch told {
	case outcome.NotRun:
		attempt.Ending = EndingNotRun
		attempt.Cause = response.Header.Get(outcome.Remedy)
	case outcome.Unknown:
		attempt.Ending = EndingUnknown
		attempt.Cause = response.Header.Get(outcome.Remedy)
	case outcome.Answered:
		classifyAnswer(attempt, body, err, submission.expectation())
	default:
		attempt.Ending = EndingFailed
		attempt.Cause = fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
}

// shownBytes is how much of a worker's error is kept as the cause.
const shownBytes = 200

func classifyAnswer(attempt *Attempt, body []byte, readError error, expected echo.Expectation) {
	switch {
	case readError != nil: // the caller can see that the answer was cut
		attempt.Ending = EndingFailed
		attempt.Cause = readError.Error()
		return
	case attempt.Status != http.StatusOK: // the worker's own error, passed on
		attempt.Ending = EndingFailed
		attempt.Cause = "error status by the worker: " + string(body[:min(len(body), shownBytes)])
		return
	}
	answer, err := expected.Verify(body)
	attempt.Worker = answer.Worker
	attempt.Ending = EndingAnswered
	if err != nil {
		attempt.Ending = EndingWrong
		attempt.Cause = err.Error()
	}
}

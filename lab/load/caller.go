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

// Target is an edge node, or a worker, to which callers send requests.
type Target struct {
	Name    string
	Address string // host:port
	// Direct marks a worker as the target. It requires the credential, if there is one.
	Direct     bool
	Credential string
}

// Caller sends requests and verifies the responses. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller with a source address; any address if from is not valid.
func NewCaller(from netip.Addr) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if from.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		MaxIdleConns:        0,
		DisableCompression:  true,
	}}}
}

const (
	dialTimeout               = 2 * time.Second
	maxIdleConnectionsPerHost = 256
)

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Submission is one attempt that a caller is to make.
type Submission struct {
	Class  Class
	Nonce  string
	Key    string // idempotency key, "" for none
	Number int    // of the attempt of the request, from 1
	Target Target
	Start  time.Time // intended
}

// Submit sends the request and waits for its end, at most until the deadline of its
// class, counted from the intended start.
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
		FillerBytes: s.Class.FillerBytes,
	}
}

// content returns the body of the request.
func (s Submission) content() []byte {
	return []byte(echo.Filler("body-"+s.Nonce, s.Class.BodyBytes))
}

func (c *Caller) send(ctx context.Context, submission Submission) (*http.Response, error) {
	class := submission.Class
	content := submission.content()
	body := newBodyReader(content, time.Duration(class.BodyMillis)*time.Millisecond)
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
	header.Set(echo.HeaderFillerBytes, strconv.Itoa(class.FillerBytes))
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

func newBodyReader(content []byte, spread time.Duration) io.Reader {
	switch {
	case len(content) == 0:
		return http.NoBody
	case spread <= 0:
		return bytes.NewReader(content)
	}
	return &slowReader{content: content, chunkBytes: max(1, len(content)/bodyChunks), pause: spread / bodyChunks}
}

// bodyChunks is the number of chunks of a body that is sent over a period.
const bodyChunks = 20

// slowReader returns its content in chunks, with a pause before each.
type slowReader struct {
	content    []byte
	chunkBytes int
	pause      time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(buffer []byte) (int, error) {
	if len(r.content) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	count := copy(buffer[:min(len(buffer), r.chunkBytes)], r.content)
	r.content = r.content[count:]
	return count, nil
}

// classify reads the response and sets the ending of the attempt.
func classify(attempt *Attempt, response *http.Response, submission Submission) {
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	reported := outcome.Outcome(response.Header.Get(outcome.Header))
	if reported == "" && submission.Target.Direct {
		reported = outcome.Answered // a worker sets the header only on requests that it did not run
	}
	switch reported {
	case outcome.NotRun:
		attempt.Ending = EndingNotRun
		attempt.Cause = response.Header.Get(outcome.Remedy)
	case outcome.Unknown:
		attempt.Ending = EndingUnknown
		attempt.Cause = response.Header.Get(outcome.Remedy)
	case outcome.Answered:
		classifyAnswered(attempt, body, err, submission.expectation())
	default:
		attempt.Ending = EndingFailed
		attempt.Cause = fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
}

// maxCauseBytes limits the part of a worker's error text that is stored as the cause.
const maxCauseBytes = 200

func classifyAnswered(attempt *Attempt, body []byte, readError error, expected echo.Expectation) {
	switch {
	case readError != nil: // the caller detects that the response is incomplete
		attempt.Ending = EndingFailed
		attempt.Cause = readError.Error()
		return
	case attempt.Status != http.StatusOK: // an error of the worker, relayed by the nodes
		attempt.Ending = EndingFailed
		attempt.Cause = "error status by the worker: " + string(body[:min(len(body), maxCauseBytes)])
		return
	}
	response, err := expected.Verify(body)
	attempt.Worker = response.Worker
	attempt.Ending = EndingAnswered
	if err != nil {
		attempt.Ending = EndingWrong
		attempt.Cause = err.Error()
	}
}

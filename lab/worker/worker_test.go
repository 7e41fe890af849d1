package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/lab/echo"
)

func start(t *testing.T, edit func(*Settings)) *Worker {
	t.Helper()
	settings := Settings{Name: "w", Service: "s", Listen: "127.0.0.1:0", Slots: 1, Queue: 1, Connections: 8}
	edit(&settings)
	started, err := Start(settings)
	must.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		started.Stop(ctx)
	})
	return started
}

// send sends a POST request with headers given as name-value pairs and reads the
// whole response.
func send(t *testing.T, ctx context.Context, started *Worker, path, body string, headers ...string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+started.Address()+path, strings.NewReader(body))
	must.NoError(t, err)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, content, err
}

// eventually waits until the condition is met; only the timeout of the test binary bounds it.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func TestResponseIsVerifiableAndRunIsInJournal(t *testing.T) {
	started := start(t, func(s *Settings) { s.Credential = "secret" })
	headers := []string{"Authorization", "Bearer secret", echo.HeaderNonce, "n1", echo.HeaderFillerBytes, "5000", outcome.IdempotencyKey, "k1"}
	_, body, err := send(t, context.Background(), started, "/orders", "content", headers...)
	must.NoError(t, err)
	expected := echo.Expectation{Nonce: "n1", Path: "/orders", BodyDigest: echo.Digest([]byte("content")), BodyBytes: 7, FillerBytes: 5000}
	_, err = expected.Verify(body)
	must.NoError(t, err)
	eventually(func() bool { return started.Journal.Runs()[0].Ending == EndingDone })
	run := started.Journal.Runs()[0]
	must.Eq(t, "k1", run.IdempotencyKey)
	must.Eq(t, 7, run.BodyBytes)
}

func TestRejectedRequestsAreNotRun(t *testing.T) {
	started := start(t, func(s *Settings) { s.Credential = "secret" })
	response, _, err := send(t, context.Background(), started, "/", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	started.SetFault(FaultLie)
	health, _, err := send(t, context.Background(), started, PathHealth, "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, health.StatusCode)
	started.SetFault(FaultNone)
	started.Drain()
	response, _, err = send(t, context.Background(), started, "/", "", "Authorization", "Bearer secret")
	must.NoError(t, err)
	must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	health, _, err = send(t, context.Background(), started, PathHealth, "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, health.StatusCode)
	must.SliceEmpty(t, started.Journal.Runs())
}

func TestCancellationAndDeadlineEndRunsAndWaits(t *testing.T) {
	started := start(t, func(s *Settings) { s.RunTime = time.Hour })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_, _, _ = send(t, ctx, started, "/", "")
		close(ended)
	}()
	eventually(func() bool { return len(started.Journal.Runs()) == 1 })
	shed, _, err := send(t, context.Background(), started, "/", "", outcome.Deadline, "1")
	must.NoError(t, err)
	must.Eq(t, string(outcome.NotRun), shed.Header.Get(outcome.Header))
	cancel()
	<-ended
	eventually(func() bool { return started.Journal.Runs()[0].Ending == EndingCancelled })
	_, _, err = send(t, context.Background(), started, "/", "", outcome.Deadline, "1")
	must.Error(t, err)
}

func TestResetAndHalfFaultsCutTheResponseAfterTheRun(t *testing.T) {
	started := start(t, func(*Settings) {})
	for index, kind := range []Fault{FaultReset, FaultHalf} {
		started.SetFault(kind)
		_, _, err := send(t, context.Background(), started, "/", "", echo.HeaderNonce, "n")
		must.Error(t, err)
		must.SliceLen(t, index+1, started.Journal.Runs())
	}
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	started := start(t, func(s *Settings) { s.Connections = 1 })
	first, err := net.Dial("tcp", started.Address())
	must.NoError(t, err)
	defer first.Close()
	second, err := net.Dial("tcp", started.Address())
	must.NoError(t, err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, 1, started.listener.rejected.Load())
	must.NoError(t, first.Close())
	eventually(func() bool {
		response, body, err := send(t, context.Background(), started, PathCounts, "")
		return err == nil && response.StatusCode == http.StatusOK && json.Valid(body)
	})
}

func TestHealthIsReportedAfterTheLag(t *testing.T) {
	lagging := laggingHealth{lag: time.Second}
	begin := time.Unix(1000, 0)
	must.Eq(t, 0, lagging.observe(begin, Health{Busy: 0}).Busy)
	must.Eq(t, 0, lagging.observe(begin.Add(500*time.Millisecond), Health{Busy: 5}).Busy)
	must.Eq(t, 5, lagging.observe(begin.Add(1500*time.Millisecond), Health{Busy: 9}).Busy)
}

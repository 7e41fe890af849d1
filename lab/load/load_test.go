package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/lab/worker"
)

// submitTo submits one request to a server with the given handler.
func submitTo(t *testing.T, handler http.HandlerFunc) Attempt {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	caller := NewCaller(netip.MustParseAddr("127.0.0.1"))
	defer caller.Close()
	return caller.Submit(t.Context(), Submission{
		Class:  Class{Name: "c", Method: http.MethodPost, Path: "/p", BodyBytes: 10, FillerBytes: 10},
		Nonce:  "n1",
		Number: 1,
		Target: Target{Name: "edge", Address: strings.TrimPrefix(server.URL, "http://")},
		Start:  time.Now(),
	})
}

func TestAttemptEndsByOutcomeHeaderAndBody(t *testing.T) {
	answerWith := func(kind outcome.Outcome, body string) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(outcome.Header, string(kind))
			_, _ = writer.Write([]byte(body))
		}
	}
	must.Eq(t, EndingNotRun, submitTo(t, answerWith(outcome.NotRun, "")).Ending)
	must.Eq(t, EndingUnknown, submitTo(t, answerWith(outcome.Unknown, "")).Ending)
	must.Eq(t, EndingWrong, submitTo(t, answerWith(outcome.Answered, `{"nonce":"n2"}`)).Ending)
	must.Eq(t, EndingFailed, submitTo(t, answerWith("", "")).Ending)
	must.Eq(t, EndingFailed, submitTo(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }).Ending)
	cut := submitTo(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(outcome.Header, string(outcome.Answered))
		writer.Header().Set("Content-Length", "100")
		_, _ = writer.Write([]byte("half"))
	})
	must.Eq(t, EndingFailed, cut.Ending)
}

func TestGeneratorRecordsVerifiedAttemptsByIntendedStart(t *testing.T) {
	back, err := worker.Start(worker.Settings{Name: "w", Listen: "127.0.0.1:0", Slots: 4, Queue: 1000, Connections: 1000})
	must.NoError(t, err)
	defer back.Stop(t.Context())
	edge := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(outcome.Header, string(outcome.Answered))
		request.URL.Scheme, request.URL.Host, request.RequestURI = "http", back.Address(), ""
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		_, _ = io.Copy(writer, response.Body)
	}))
	defer edge.Close()
	target := Target{Name: "edge", Address: strings.TrimPrefix(edge.URL, "http://")}
	generator := NewGenerator(NewCaller(netip.Addr{}), []Target{target}, "test")
	generator.Start([]Class{{Name: "c", Method: http.MethodGet, Path: "/p", RatePerSecond: 500, Keyed: true}})
	for len(generator.Result.Attempts()) < 50 {
		time.Sleep(time.Millisecond)
	}
	generator.Stop()
	attempts := generator.Result.Attempts()
	starts := map[time.Time]bool{}
	for _, attempt := range attempts {
		starts[attempt.Start] = true
	}
	must.MapLen(t, len(attempts), starts)
	must.MapEmpty(t, generator.Result.pending)
	must.Eq(t, len(attempts), generator.Result.Count("c", EndingAnswered))
	must.SliceEmpty(t, Compare(attempts, back.Journal.Runs()).Violations())
}

func TestCompareReportsEachKindOfViolation(t *testing.T) {
	attempts := []Attempt{
		{Nonce: "a", Number: 1, Path: "/p", Ending: EndingNotRun},
		{Nonce: "b", Number: 1, Path: "/p", Ending: EndingNotRun},
		{Nonce: "b", Number: 2, Path: "/p", Ending: EndingAnswered},
		{Nonce: "c", Number: 1, Path: "/p", Ending: EndingAnswered},
		{Nonce: "d", Number: 1, Path: "/p", Ending: EndingWrong},
		{Nonce: "f", Number: 1, Path: "/p", Ending: EndingUnknown, Once: true},
	}
	runs := []worker.Run{
		{Nonce: "a", Attempt: "1", Path: "/p"},
		{Nonce: "b", Attempt: "2", Path: "/p", IdempotencyKey: "k"},
		{Nonce: "b", Attempt: "2", Path: "/nested"},
		{Nonce: "e", Attempt: "1", Path: "/p", IdempotencyKey: "k"},
		{Nonce: "f", Attempt: "1", Path: "/p"},
		{Nonce: "f", Attempt: "1", Path: "/p"},
	}
	audit := Compare(attempts, runs)
	must.SliceLen(t, 1, audit.RanDespiteNotRun)
	must.StrContains(t, audit.RanDespiteNotRun[0], "a attempt 1")
	must.SliceLen(t, 2, audit.RanMoreThanOnce)
	must.SliceLen(t, 1, audit.AnsweredWithoutRun)
	must.StrContains(t, audit.AnsweredWithoutRun[0], "c attempt 1")
	must.SliceLen(t, 1, audit.WrongResponses)
	must.SliceLen(t, 5, audit.Violations())
}

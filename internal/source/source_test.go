package source

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// roundTripFunc is an http.RoundTripper without sockets, for tests in virtual time.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

// newResponse returns a response with a JSON body. headers are pairs of name and value.
func newResponse(status int, body string, headers ...string) *http.Response {
	header := http.Header{"Content-Type": {"application/json"}}
	for index := 0; index < len(headers); index += 2 {
		header.Set(headers[index], headers[index+1])
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

// documentBody returns a response body with a document that declares secrets.
func documentBody(revision int, secrets string) string {
	return fmt.Sprintf(`{"revision":%d,"document":{"secrets":[%s]}}`, revision, secrets)
}

func TestFetchOverHTTP(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		must.Eq(t, "alpha", request.Header.Get("Sliphead-Node"))
		writer.Header().Set("Content-Type", "application/json; charset=utf-8")
		writer.Header().Set("ETag", `"7"`)
		switch {
		case request.URL.Path == "/v1/machines":
			io.WriteString(writer, `{"machines":[{"name":"a","peer":"127.0.0.1:7000","state":"leaving"},{"name":"b","peer":"b:7000","state":"live"},{"peer":"127.0.0.1:7000","state":"live"},{"name":"c","peer":"127.0.0.1:7000","state":"lost"}]}`)
		case request.URL.EscapedPath() == "/v1/secrets/till%2Fkey":
			io.WriteString(writer, `{"value":"x"}`)
		case request.Header.Get("If-None-Match") == `"7"`:
			must.Eq(t, "20", request.URL.Query().Get("wait"))
			writer.WriteHeader(http.StatusNotModified)
		default:
			io.WriteString(writer, documentBody(7, ""))
		}
	}))
	defer server.Close()
	configuration := &Configuration{Base: server.URL, Node: "alpha", Client: server.Client()}
	first, err := configuration.Fetch(t.Context(), "", time.Second)
	must.NoError(t, err)
	must.Eq(t, 7, first.Revision)
	must.Eq(t, `{"secrets":[]}`, string(first.Raw))
	again, err := configuration.Fetch(t.Context(), first.ETag, 20*time.Second)
	must.NoError(t, err)
	must.Nil(t, again)
	value, err := configuration.Secret(t.Context(), "till/key")
	must.NoError(t, err)
	must.Eq(t, "x", value)
	machines, err := (&Machines{Base: server.URL, Node: "alpha", Client: server.Client()}).Fetch(t.Context())
	must.NoError(t, err)
	must.Eq(t, []Machine{{Name: "a", Peer: "127.0.0.1:7000", State: MachineLeaving}}, machines)
}

// endlessBody is a body of spaces that is eight times as long as the maximum.
type endlessBody struct{ read int }

func (e *endlessBody) Read(buffer []byte) (int, error) {
	if e.read > 8*maxBodyBytes {
		return 0, io.EOF
	}
	e.read += copy(buffer, bytes.Repeat([]byte(" "), len(buffer)))
	return len(buffer), nil
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	for name, response := range map[string]*http.Response{
		"status 500":        newResponse(500, documentBody(1, "")),
		"status 204":        newResponse(204, ""),
		"redirect":          newResponse(302, documentBody(1, ""), "Location", "http://127.0.0.1:1/"),
		"HTML":              newResponse(200, "<html>down</html>", "Content-Type", "text/html"),
		"HTML as JSON":      newResponse(200, "<html>down</html>"),
		"no type":           newResponse(200, documentBody(1, ""), "Content-Type", ""),
		"truncated":         newResponse(200, `{"revision":1,"document":{"secrets":[`),
		"no revision":       newResponse(200, `{"document":{}}`),
		"negative revision": newResponse(200, `{"revision":-1,"document":{}}`),
		"no document":       newResponse(200, `{"revision":1}`),
		"null document":     newResponse(200, `{"revision":1,"document":null}`),
		"list":              newResponse(200, `[]`),
		"too long":          newResponse(200, `{"revision":1,"document":{"a":"`+strings.Repeat("a", maxBodyBytes)+`"}}`),
		"304 for no tag":    newResponse(304, ""),
	} {
		client := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) { return response, nil })}
		_, err := (&Configuration{Base: "http://source", Client: client}).Fetch(t.Context(), "", 0)
		must.Eq(t, fault.Source, fault.KindOf(err), must.Sprint(name))
	}
	endless := &endlessBody{}
	client := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
		response := newResponse(200, "")
		response.Body = io.NopCloser(endless)
		return response, nil
	})}
	_, err := (&Configuration{Base: "http://source", Client: client}).Fetch(t.Context(), "", 0)
	must.Eq(t, fault.Source, fault.KindOf(err))
	must.LessEq(t, 2*maxBodyBytes, endless.read)
	broken := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) { return nil, errors.New("refused") })}
	_, err = (&Machines{Base: "http://source", Client: broken}).Fetch(t.Context())
	must.Eq(t, fault.Source, fault.KindOf(err))
}

func TestRetryAfterIsParsedAndBounded(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"7": 7 * time.Second, "999999999999": maxRetryAfter, "-1": 0, "soon": 0, "Thu, 01 Jan 1970 00:00:00 GMT": 0,
	} {
		must.Eq(t, want, RetryAfter(statusError("/", newResponse(429, "", "Retry-After", value))))
	}
}

// readerBench runs a reader in virtual time against a simulated service.
type readerBench struct {
	reader  *Reader
	results []Result
	log     bytes.Buffer
	duty    chan bool
	stop    func()
}

func startReader(t *testing.T, respond roundTripFunc) *readerBench {
	t.Helper()
	b := &readerBench{duty: make(chan bool)}
	b.reader = &Reader{
		Configuration: &Configuration{Base: "http://source", Client: &http.Client{Transport: respond}},
		Parse: func(raw []byte) (*declaration.Document, error) {
			parsed := &declaration.Document{}
			if err := json.Unmarshal(raw, parsed); err != nil {
				return nil, fault.Wrap(err, fault.Declaration, "correct it", "wrong")
			}
			return parsed, nil
		},
		Emit:     func(result Result) { b.results = append(b.results, result) },
		LongPoll: 20 * time.Second,
		Logger:   logging.New(&b.log, log.InfoLevel),
		Random:   rand.New(rand.NewPCG(1, 1)),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.reader.Run(ctx, b.duty)
	}()
	b.stop = func() {
		cancel()
		<-ended
	}
	return b
}

// longPollUnchanged simulates a long poll without changes: it responds 304 after the request's
// wait.
func longPollUnchanged(request *http.Request) (*http.Response, error) {
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait") + "s")
	select {
	case <-time.After(wait):
		return newResponse(304, ""), nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// advance advances virtual time and waits until all goroutines are blocked.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func TestReaderSendsRequestsOnlyOnDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startReader(t, func(request *http.Request) (*http.Response, error) {
			if request.Header.Get("If-None-Match") == "" {
				return newResponse(200, documentBody(1, ""), "ETag", "1"), nil
			}
			return longPollUnchanged(request)
		})
		advance(time.Hour)
		must.Eq(t, 0, b.reader.Reads())
		b.duty <- true
		advance(time.Minute)
		must.SliceLen(t, 1, b.results)
		must.Eq(t, 4, b.reader.Reads())
		b.duty <- false
		advance(time.Hour)
		must.Eq(t, 4, b.reader.Reads())
		b.duty <- true
		b.duty <- true
		synctest.Wait()
		must.Eq(t, 5, b.reader.Reads())
		must.SliceLen(t, 2, b.results)
		b.stop()
	})
}

func TestFailuresBackOffAndAreLoggedOncePerCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var status atomic.Int64
		status.Store(500)
		b := startReader(t, func(request *http.Request) (*http.Response, error) {
			if status.Load() == 200 {
				return newResponse(200, documentBody(3, ""), "ETag", "3"), nil
			}
			return newResponse(int(status.Load()), "", "Retry-After", map[int64]string{429: "60"}[status.Load()]), nil
		})
		b.duty <- true
		advance(10 * time.Minute)
		must.Between(t, 60, b.reader.Reads(), 300)
		must.Eq(t, 1, strings.Count(b.log.String(), "event=source.failed"))
		status.Store(429)
		advance(10 * time.Second)
		before := b.reader.Reads()
		advance(time.Hour)
		must.Between(t, 50, b.reader.Reads()-before, 60)
		must.Eq(t, 2, strings.Count(b.log.String(), "event=source.failed"))
		must.True(t, b.reader.LastRead().IsZero())
		status.Store(200)
		advance(2 * time.Minute)
		must.Less(t, time.Minute, time.Since(b.reader.LastRead()))
		must.Eq(t, 1, strings.Count(b.log.String(), "event=source.recovered"))
		must.Eq(t, 3, b.results[len(b.results)-1].Revision)
		b.stop()
	})
}

func TestInvalidDocumentIsReportedOnceAndNextIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var good atomic.Bool
		b := startReader(t, func(request *http.Request) (*http.Response, error) {
			switch {
			case good.Load() && request.Header.Get("If-None-Match") == "4":
				return newResponse(200, documentBody(5, ""), "ETag", "5"), nil
			case request.Header.Get("If-None-Match") == "":
				return newResponse(200, `{"revision":4,"document":{"secrets":7}}`, "ETag", "4"), nil
			}
			return longPollUnchanged(request)
		})
		b.duty <- true
		advance(time.Hour)
		must.SliceLen(t, 1, b.results)
		must.Eq(t, fault.Declaration, fault.KindOf(b.results[0].Err))
		must.Eq(t, 4, b.results[0].Revision)
		must.Eq(t, 1, strings.Count(b.log.String(), "\n"))
		good.Store(true)
		advance(time.Minute)
		must.SliceLen(t, 2, b.results)
		must.Eq(t, 5, b.results[1].Revision)
		b.stop()
	})
}

func TestMissingSecretIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ready atomic.Bool
		var requests atomic.Int64
		b := startReader(t, func(request *http.Request) (*http.Response, error) {
			switch request.URL.Path {
			case "/v1/secrets/till":
				return newResponse(200, `{"value":"t"}`), nil
			case "/v1/secrets/press":
				requests.Add(1)
				if ready.Load() {
					return newResponse(200, `{"value":"p"}`), nil
				}
				return newResponse(404, ""), nil
			}
			if request.Header.Get("If-None-Match") == "" {
				return newResponse(200, documentBody(6, `{"name":"till"},{"name":"press"}`), "ETag", "6"), nil
			}
			return longPollUnchanged(request)
		})
		b.duty <- true
		advance(time.Minute)
		must.Eq(t, map[string]string{"till": "t"}, b.results[0].Secrets)
		must.SliceLen(t, 1, b.results)
		must.Between(t, 15, requests.Load(), 60)
		must.Eq(t, 1, strings.Count(b.log.String(), "event=source.secretMissing"))
		ready.Store(true)
		advance(10 * time.Second)
		must.SliceLen(t, 2, b.results)
		must.Eq(t, map[string]string{"till": "t", "press": "p"}, b.results[1].Secrets)
		before := requests.Load()
		advance(time.Hour)
		must.Eq(t, before, requests.Load())
		b.stop()
	})
}

func TestMachineListPollsAreJitteredAndFailuresKeepLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down, off atomic.Bool
		requests, lists := 0, 0
		machines := &Machines{Base: "http://list", Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			requests++
			if down.Load() {
				return newResponse(503, ""), nil
			}
			return newResponse(200, `{"machines":[]}`), nil
		})}}
		var events bytes.Buffer
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour)
		defer cancel()
		time.AfterFunc(30*time.Minute, func() { down.Store(true) })
		time.AfterFunc(time.Hour, func() { off.Store(true) })
		policy := func() (bool, time.Duration) { return !off.Load(), 10 * time.Second }
		machines.Poll(ctx, policy, rand.New(rand.NewPCG(1, 1)), logging.New(&events, log.InfoLevel), func([]Machine) { lists++ })
		must.Between(t, 320, requests, 400)
		must.Between(t, 160, lists, 200)
		must.Eq(t, 1, strings.Count(events.String(), "event=machines.failed"))
	})
}

func FuzzDecodeResponses(f *testing.F) {
	for _, seed := range []string{documentBody(1, ""), `{"machines":[{"name":"a","peer":"127.0.0.1:1","state":"live"}]}`, `{"value":"x"}`, `{"revision":1e99}`, `[`, `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if read, err := decodeConfiguration(text); err == nil {
			must.True(t, json.Valid(read.Raw))
		} else {
			must.Eq(t, fault.Source, fault.KindOf(err))
		}
		if machines, err := decodeMachines(text); err == nil {
			for _, machine := range machines {
				must.True(t, machine.valid())
			}
		}
		decodeSecret(text)
	})
}

// When the service recovers and its document has not changed, the reader must emit a
// result without error, or the receiver would regard the source as failing for ever.
// A lasting failure must be logged once, although the wait in the URL varies.
func TestRecoveryWithUnchangedDocumentIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		b := startReader(t, func(request *http.Request) (*http.Response, error) {
			switch {
			case down.Load():
				return nil, errors.New("connection refused")
			case request.Header.Get("If-None-Match") == "":
				return newResponse(200, documentBody(1, ""), "ETag", "1"), nil
			}
			return longPollUnchanged(request)
		})
		b.duty <- true
		advance(time.Minute)
		must.SliceLen(t, 1, b.results)
		down.Store(true)
		advance(10 * time.Minute)
		must.Eq(t, 1, strings.Count(b.log.String(), "event=source.failed"))
		must.Error(t, b.results[len(b.results)-1].Err)
		down.Store(false)
		advance(11 * time.Second) // more than the maximum backoff; a reader that used a long poll here would take longer
		must.NoError(t, b.results[len(b.results)-1].Err)
		must.Eq(t, 1, b.results[len(b.results)-1].Revision)
		b.stop()
	})
}

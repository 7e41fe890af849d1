package traffic

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"sliphead/internal/outcome"
)

// expectWait is how long a node waits for 100 Continue before it streams a
// body regardless. The request's deadline ends the wait long before.
const expectWait = 24 * time.Hour

// newTransport returns a transport that does what it is told and no more: no
// proxies, no compression, no HTTP/2.
func newTransport(dial DialFunc, connections, idle int) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:           dial,
		DisableCompression:    true,
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   idle,
		IdleConnTimeout:       defaultIdleTimeout / 2,
		ExpectContinueTimeout: expectWait,
		Protocols:             protocols,
		WriteBufferSize:       bufferSize,
		ReadBufferSize:        bufferSize,
	}
}

// bufferSize is the size of each of a connection's two buffers.
const bufferSize = 8 << 10

// field is a header that a hop sets.
type field struct{ name, value string }

// hop is where a request goes next.
type hop struct {
	pool      *pool
	transport *http.Transport
	address   string  // host:port
	fields    []field // in place of the caller's of the same name
	expect    bool    // whether a streamed body waits for 100 Continue
	protocol  *Protocol
	offer     bool                                        // whether a whole body waits for 100 Continue, so that a request that is refused or meets silence has not run
	silence   time.Duration                               // within which the other side has to give a sign; 0: the deadline
	onSign    func(took time.Duration)                    // called at each sign, with its time since the request went out; nil: nobody asks
	onSilence func()                                      // called when there was no sign in time; nil: the try ends
	onBytes   func(failure *result, sent, received int64) // told at the end of a try, of a pooled connection; nil: nobody asks
	endures   func() bool                                 // asked when there was no sign: whether to wait to the deadline; nil: not
}

// foreignTo reports whether the other side has headers of its own.
func (h *hop) foreignTo() bool { return h.protocol != nil && !h.protocol.own() }

// sets reports whether the hop sets a header.
func (h *hop) sets(name string) bool {
	return slices.ContainsFunc(h.fields, func(each field) bool { return each.name == name })
}

// directBody is the length up to which a body is written in one go, before the
// answer is read. Any connection takes so much at once.
const directBody = 16 << 10

// send makes one try. It returns the answer, or how the try failed.
func send(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	if x.body.stream == nil && (x.body.length <= directBody || x.concurrentBody) {
		if got, failure, done := sendDirect(x, to, check); done {
			return got, failure
		}
	}
	return sendByTransport(x, to, check)
}

// sendByTransport makes one try by the transport of net/http.
func sendByTransport(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := newSending()
	request := outgoing(httptrace.WithClientTrace(x.context, &watch.trace), x, to)
	response, err := to.transport.RoundTrip(request)
	if err != nil {
		failure := roundTripFailure(x, watch.left())
		return nil, &failure
	}
	failure := check(response)
	if failure == nil && watch.stale() {
		failure = foreign()
	}
	if failure != nil {
		_ = response.Body.Close()
		if failure.cause == causeForeign {
			watch.abandon()
		}
		return nil, failure
	}
	return receive(x, response)
}

// outgoing builds the request of the next hop.
func outgoing(ctx context.Context, x *exchange, to *hop) *http.Request {
	header := make(http.Header, len(x.request.Header)+len(to.fields))
	copyEndToEnd(header, x.request.Header)
	for _, each := range to.fields {
		header[each.name] = []string{each.value}
	}
	target := *x.request.URL
	target.Scheme = "http"
	target.Host = to.address
	target.User = nil
	request := &http.Request{
		Method:        x.request.Method,
		URL:           &target,
		Host:          x.request.Host,
		ProtoMajor:    1, // the transport waits for 100 Continue only when it knows the version
		ProtoMinor:    1,
		Header:        header,
		Body:          x.body.reader(),
		ContentLength: x.body.length,
	}
	if to.expect && x.body.stream != nil {
		header["Expect"] = []string{"100-continue"}
	}
	return request.WithContext(ctx)
}

// foreign is the failure of a try whose answer belongs to another request.
func foreign() *result {
	failure := unknown(http.StatusBadGateway, causeForeign, "check whether it ran, the answer that came was for another request")
	return &failure
}

// silence is the failure of a try to which the other side gave no sign in time.
func silence(left bool) result {
	if left {
		return unknown(http.StatusBadGateway, causeSilent, "check whether it ran before sending it again, the next hop is silent")
	}
	return refuse(causeSilent, time.Second, "send it again later, the next hop is silent")
}

// roundTripFailure tells what a failed try came to.
func roundTripFailure(x *exchange, left bool) result {
	deadlinePassed := x.context.Err() != nil && !time.Now().Before(x.deadline)
	callerGone := x.request.Context().Err() != nil || x.body.stream != nil && x.body.stream.broken.Load()
	switch {
	case callerGone && left:
		return unknown(http.StatusBadGateway, causeCallerGone, "the caller's connection or body broke off, check whether it ran before sending it again")
	case callerGone:
		return reject(http.StatusBadRequest, causeCallerGone, "keep the connection open until the answer has come")
	case deadlinePassed && left:
		return unknown(http.StatusGatewayTimeout, causeDeadline, "check whether it ran before sending it again, or raise the route's deadlineMs")
	case deadlinePassed:
		return refuse(causeDeadline, time.Second, "send it again later, or raise the route's deadlineMs")
	case left:
		return unknown(http.StatusBadGateway, causeBroken, "check whether it ran before sending it again")
	default:
		return refuse(causeConnect, time.Second, "send it again later, the next hop does not accept connections")
	}
}

// hasHeader is here so that a header given empty still counts as given.
func hasHeader(header http.Header, name string) bool { return len(header[name]) > 0 }

// refusedByNode reads a refusal from the answer of another node, nil if it is none.
func refusedByNode(response *http.Response) *result {
	told := outcome.Outcome(get(response.Header, outcome.Header))
	if told == outcome.Answered {
		return nil
	}
	refused := result{
		outcome: told,
		status:  response.StatusCode,
		cause:   causeRefused,
		remedy:  get(response.Header, outcome.Remedy),
		final:   hasHeader(response.Header, finalHeader),
	}
	if told != outcome.NotRun {
		refused.outcome = outcome.Unknown
	}
	refused.retryAfter = time.Duration(number(response.Header, "Retry-After", 0)) * time.Second
	return &refused
}

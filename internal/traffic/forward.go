package traffic

import (
	"context"
	"net/http"
	"slices"
	"time"

	"sliphead/internal/outcome"
)

// expectWait is the time after which a node streams a body without 100 Continue. The request's
// deadline ends the wait long before.
const expectWait = 24 * time.Hour

// newTransport returns a transport without proxies, compression and HTTP/2.
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

// bufferSize is the size in bytes of each of the two buffers of a connection.
const bufferSize = 8 << 10

// field is a header that a hop sets.
type field struct{ name, value string }

// hop describes the next hop of a request and how to send the request there.
type hop struct {
	pool             *pool
	transport        *http.Transport
	address          string  // host:port
	fields           []field // replace the caller's headers of the same names
	expectStreamed   bool    // whether a streamed body waits for 100 Continue
	protocol         *Protocol
	expectBuffered   bool                                        // whether a buffered body waits for 100 Continue, so that a refused or unacknowledged request has not run
	ackTimeout       time.Duration                               // time within which the next hop has to acknowledge the request; 0: until the deadline
	onAck            func(took time.Duration)                    // called at each informational or final response, with the time since the request was sent; may be nil
	onAckTimeout     func()                                      // called when no acknowledgement came in time; nil: the attempt ends
	onBytes          func(failure *result, sent, received int64) // called at the end of an attempt on a pooled connection; may be nil
	waitsForDeadline func() bool                                 // called when no acknowledgement came in time: whether to wait until the deadline; nil: no
}

// usesCustomHeaders reports whether the next hop uses headers other than sliphead's own.
func (h *hop) usesCustomHeaders() bool { return h.protocol != nil && !h.protocol.isNative() }

// sets reports whether the hop sets a header.
func (h *hop) sets(name string) bool {
	return slices.ContainsFunc(h.fields, func(each field) bool { return each.name == name })
}

// directBody is the length in bytes up to which a body is written completely before the response
// is read. Any connection buffers that much.
const directBody = 16 << 10

// send makes one attempt. It returns the response, or how the attempt failed.
func send(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	if x.concurrentBody || x.body.stream == nil && x.body.length <= directBody {
		if got, failure, done := sendDirect(x, to, check); done {
			return got, failure
		}
	}
	return sendByTransport(x, to, check)
}

// sendByTransport makes one attempt with the transport of net/http.
func sendByTransport(x *exchange, to *hop, check func(*http.Response) *result) (*answer, *result) {
	watch := newWriteTracker(x.request.Method)
	request := outgoing(watch.in(x.context), x, to)
	response, err := to.transport.RoundTrip(request)
	if err != nil {
		failure := roundTripFailure(x, watch.mayHaveSent(), err)
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

// outgoing builds the request to the next hop.
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
		ProtoMajor:    1, // without a version the transport does not wait for 100 Continue
		ProtoMinor:    1,
		Header:        header,
		Body:          x.body.reader(),
		ContentLength: x.body.length,
	}
	if to.expectStreamed && x.body.stream != nil {
		header["Expect"] = []string{"100-continue"}
	}
	return request.WithContext(ctx)
}

// foreign is the failure of an attempt whose response belongs to another request.
func foreign() *result {
	failure := unknown(http.StatusBadGateway, causeForeign, "check whether it ran, the answer that came was for another request")
	return &failure
}

// unresponsive is the failure of an attempt that the next hop did not acknowledge in time;
// mayHaveSent states whether any byte of it may have been sent.
func unresponsive(mayHaveSent bool) result {
	if mayHaveSent {
		return unknown(http.StatusBadGateway, causeUnresponsive, "check whether it ran before sending it again, the next hop is silent")
	}
	return refuse(causeUnresponsive, time.Second, "send it again later, the next hop is silent")
}

// roundTripFailure returns the result of a failed attempt; mayHaveSent states whether any byte
// of it may have been sent, and reason why it failed.
func roundTripFailure(x *exchange, mayHaveSent bool, reason error) result {
	failure := classifyFailure(x, mayHaveSent)
	failure.reason = reason
	return failure
}

func classifyFailure(x *exchange, mayHaveSent bool) result {
	deadlinePassed := x.context.Err() != nil && !time.Now().Before(x.deadline)
	callerGone := x.request.Context().Err() != nil || x.body.isBroken()
	switch {
	case x.body.isTooLong() && mayHaveSent:
		return unknown(http.StatusRequestEntityTooLarge, causeLimits, "send a shorter body")
	case x.body.isTooLong():
		return rejectLongBody()
	case callerGone && mayHaveSent:
		return unknown(http.StatusBadGateway, causeCallerGone, "the caller's connection or body broke off, check whether it ran before sending it again")
	case callerGone:
		return reject(http.StatusBadRequest, causeCallerGone, "keep the connection open until the answer has come")
	case deadlinePassed && mayHaveSent:
		return unknown(http.StatusGatewayTimeout, causeDeadline, "check whether it ran before sending it again, or raise the route's deadlineMs")
	case deadlinePassed:
		return refuse(causeDeadline, time.Second, "send it again later, or raise the route's deadlineMs")
	case mayHaveSent:
		return unknown(http.StatusBadGateway, causeBroken, "check whether it ran before sending it again")
	default:
		return refuse(causeConnect, time.Second, "send it again later, the next hop does not accept connections")
	}
}

// hasHeader reports whether a header is present; one with an empty value counts.
func hasHeader(header http.Header, name string) bool { return len(header[name]) > 0 }

// nodeRefusal returns the refusal in the response of another node, nil if it is none.
func nodeRefusal(response *http.Response) *result {
	reported := outcome.Outcome(get(response.Header, outcome.Header))
	if reported == outcome.Answered {
		return nil
	}
	refused := result{
		outcome: reported,
		status:  response.StatusCode,
		cause:   causeRefused,
		remedy:  get(response.Header, outcome.Remedy),
		final:   hasHeader(response.Header, finalHeader),
	}
	if reported != outcome.NotRun {
		refused.outcome = outcome.Unknown
	}
	refused.retryAfter = time.Duration(number(response.Header, "Retry-After", 0)) * time.Second
	return &refused
}

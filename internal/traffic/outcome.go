package traffic

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/outcome"
)

// setOutcome sets the headers that every response carries.
func (x *exchange) setOutcome(to *fields, reported outcome.Outcome) {
	if x.fromNode {
		suppressDefaultHeaders(to.header)
		to.set(hopHeader, encodeHopReply(x, reported, nil))
		return
	}
	to.set(outcome.Header, string(reported))
	if x.protocol == nil {
		to.set(outcome.RequestID, x.id)
	}
	if x.attempt != "" {
		to.set(attemptHeader, x.attempt)
	}
	if x.closeConnection || x.unread() {
		to.set("Connection", "close")
	}
	if x.load != nil {
		to.set(outcome.Load, encodeLoad(x.load()))
	}
}

// conclude sends a result that was not forwarded as the final response, and cuts the
// connection under an incomplete response.
func conclude(x *exchange, ended result) {
	if ended.cut {
		panic(http.ErrAbortHandler)
	}
	if ended.sent {
		return
	}
	if ended.answer != nil {
		ended.answer.pass(x)
		return
	}
	x.limitWriting(time.Now())
	if x.fromNode {
		refuseToNode(x, ended)
		return
	}
	header := newFields(x.writer.Header())
	x.setOutcome(header, ended.outcome)
	if x.protocol != nil && x.protocol.validRequestID(x.id) {
		header.set(x.protocol.RequestID, x.id)
	}
	header.set(outcome.Remedy, ended.remedy)
	header.set("Content-Type", "text/plain; charset=utf-8")
	if ended.retryAfter > 0 {
		header.set("Retry-After", x.retryAfter(ended.retryAfter))
	}
	if ended.status == http.StatusUnauthorized {
		header.set("Www-Authenticate", keyScheme)
	}
	if ended.final && x.attempt != "" {
		header.set(finalHeader, "1")
	}
	text := string(ended.outcome) + ": " + ended.remedy + "\n"
	header.set("Content-Length", strconv.Itoa(len(text)))
	x.writer.WriteHeader(ended.status)
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write([]byte(text)) // an error means that the caller has disconnected
	}
}

// writeGrace is the time after its deadline within which a response may still be written.
const writeGrace = 5 * time.Second

// limitWriting ends writes to a caller that does not read. Each request sets its own deadline,
// because the server does not reset the previous one.
func (x *exchange) limitWriting(deadline time.Time) {
	controller := http.NewResponseController(x.writer)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace)) // not supported by all writers
}

// retryAfter formats a delay for Retry-After: with milliseconds if callers support it, else in
// whole seconds.
func (x *exchange) retryAfter(wait time.Duration) string {
	if x.protocol == nil {
		return seconds(wait)
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// seconds rounds up to whole seconds, at least one.
func seconds(wait time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}

package traffic

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/outcome"
)

// setOutcome writes the headers that every answer carries.
func (x *exchange) setOutcome(to *fields, told outcome.Outcome) {
	if x.between {
		silenceHeaders(to.header)
		to.set(hopHeader, encodeHopAnswer(x, told, nil))
		return
	}
	to.set(outcome.Header, string(told))
	if x.protocol == nil {
		to.set(outcome.RequestID, x.id)
	}
	if x.attempt != "" {
		to.set(attemptHeader, x.attempt)
	}
	if x.closing || x.unread() {
		to.set("Connection", "close")
	}
	if x.load != nil {
		to.set(outcome.Load, encodeLoad(x.load()))
	}
}

// conclude turns a result that was not passed on into the final answer and
// cuts the connection under an answer that is not whole.
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
	if x.between {
		concludeBetween(x, ended)
		return
	}
	header := newFields(x.writer.Header())
	x.setOutcome(header, ended.outcome)
	if x.protocol != nil && validID(x.id) {
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
		_, _ = x.writer.Write([]byte(text)) // an error means that the caller has gone
	}
}

// writeGrace is how long an answer may take to be written after its deadline.
const writeGrace = 5 * time.Second

// limitWriting ends writes to a caller that does not read. Each request sets
// its own limit: the server does not take back the one before.
func (x *exchange) limitWriting(deadline time.Time) {
	controller := http.NewResponseController(x.writer)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace)) // not offered by all writers
}

// retryAfter tells a wait: to the millisecond where callers understand it.
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

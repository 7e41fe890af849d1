package traffic

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
	"sliphead/internal/outcome"
)

// logEnd logs how a request without a worker's response ended: what decided it, the age of the
// data behind the decision, and what the caller was sent. Requests with a response are
// counted, not logged.
func (m *metrics) logEnd(x *exchange, ended result) {
	fields := x.logFields(m.side)
	fields["cause"] = string(ended.cause)
	fields["status"] = ended.status
	fields["remedy"] = ended.remedy
	if ended.reason != nil {
		fields["reason"] = ended.reason.Error()
	}
	if ended.cause == causeQuarantine || ended.cause == causeBroken && m.side == "inbound" {
		// Copies of a request have different ids: the fingerprint alone shows that the same
		// request was at several workers that crashed.
		fields["fingerprint"] = x.fingerprint().String()
	}
	switch {
	case ended.outcome == outcome.Unknown:
		m.logger.WithFields(fields).Warn("request.unknown")
	case ended.outcome == outcome.Answered:
	case m.side == "inbound" && (ended.cause == causeFull || ended.cause == causeQueue || ended.cause == causeLimit || ended.cause == causeLeaving):
		// The caller's node attempts another worker, and logs the end if there is none.
	case ended.status == http.StatusServiceUnavailable:
		fields["retry_after_ms"] = ended.retryAfter.Milliseconds()
		m.logger.WithFields(fields).Info("request.refused")
	default:
		m.logger.WithFields(fields).Info("request.rejected")
	}
}

// logRetry logs a failed attempt that may be followed by another.
func (d *dispatch) logRetry(failure *result) {
	if failure.cause == causeFull || failure.cause == causeQueue || failure.cause == causeLimit || failure.cause == causeLeaving || failure.cause == causeRefused && !failure.reachedWorker {
		return // the request reached no worker
	}
	fields := d.x.logFields("outbound")
	fields["cause"] = string(failure.cause)
	fields["outcome"] = string(failure.outcome)
	fields["may_repeat"] = d.mayRepeat()
	if failure.reason != nil {
		fields["reason"] = failure.reason.Error()
	}
	if stream := d.x.body.stream; stream != nil {
		fields["body_read"] = stream.bytesRead.Load()
	}
	d.out.config.Logger.WithFields(fields).Info("request.retried")
}

// logFields returns the fields that identify the request and the state of the node that
// decided on it.
func (x *exchange) logFields(side string) log.Fields {
	fields := logging.Fields{"side": side, "request": x.id, "held_ms": time.Since(x.started).Milliseconds()}
	if x.route != nil {
		fields["route"] = x.route.Name
		fields["rank"] = x.route.Rank
	}
	if x.view != nil {
		fields["version"] = x.view.Version.Revision
		fields["view_age_ms"] = x.started.Sub(x.view.Resolved).Milliseconds()
	}
	if !x.deadline.IsZero() {
		fields["left_ms"] = x.millisecondsLeft()
	}
	if x.tenant.name != "" {
		fields["tenant"] = x.tenant.name
		fields["key"] = x.tenant.tag
	}
	if x.configurationAge > 0 {
		fields["knowledge_age_ms"] = x.configurationAge.Milliseconds()
	}
	if x.instance != "" {
		fields["instance"] = x.instance
	}
	if x.class.callerRetried {
		fields["returned"] = true
	}
	if x.offers > 0 {
		fields["offers"] = x.offers
		fields["attempts"] = x.attempts
	}
	return fields
}

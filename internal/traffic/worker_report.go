package traffic

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/logging"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/workerlimit"
)

// workerReport is what the local worker has reported about itself in its responses, and the
// requests that it was sent. It belongs to one instance of the worker.
type workerReport struct {
	instance     string
	limit        workerlimit.Limit
	invalidLimit bool // whether it has reported a limit that cannot be parsed
	sent         workerlimit.Sent
}

// resetOnNewInstance discards the report when another instance of the worker has started, which
// has reported nothing yet. The caller holds the mutex.
func (a *admitter) resetOnNewInstance(instance string, now time.Time) {
	if instance == a.report.instance {
		return
	}
	limited := a.report.limit.Current().Limited
	a.report = workerReport{instance: instance}
	if limited {
		a.applyLimit(now)
	}
}

// recordSent counts a request sent to the worker.
func (a *admitter) recordSent(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.report.sent.Add(now)
}

// recordReport records what a response of the worker reports about the worker itself.
func (in *Inbound) recordReport(x *exchange, response *http.Response) {
	in.recordLimit(x, response)
	if in.config.Protocol.announcesLeaving(response.Header) {
		in.recordLeaving(x.instance)
	}
}

// recordLeaving records that the worker has announced that it leaves. It is sent no more requests,
// whatever the store's record says, and queued requests are refused immediately so that they can
// run at another endpoint.
func (in *Inbound) recordLeaving(instance string) {
	view, _ := in.config.Holder.Current(time.Now())
	if view == nil || view.Local.Instance != instance || in.leaveStateOf(instance) == certainlyLeaving {
		return
	}
	in.leaveNotice.Store(&leaveNotice{instance: instance, id: view.Local.ID, at: time.Now()})
	logging.Event(in.config.Logger, "worker.leaves", logging.Fields{"instance": instance, "recorded": view.Local.Draining})
	in.LocalChanged()
}

// leaveNotice is the latest announcement of a local worker that it leaves.
type leaveNotice struct {
	instance string
	id       string // id in its catalog record, the same after a restart
	at       time.Time
	expires  time.Time // when it becomes invalid, if it may belong to the previous instance; zero: never
}

// leaveNoticeCarryover is how long after its arrival a notice may still belong to the next
// instance under the same id, whose catalog record may arrive later than its responses.
const leaveNoticeCarryover = 6 * time.Second

// leaveState states whether an instance has announced that it leaves.
type leaveState int

const (
	notLeaving   leaveState = iota
	maybeLeaving            // either it or the previous instance under the same id has
	certainlyLeaving
)

// leaveStateOf returns whether an instance has announced that it leaves.
func (in *Inbound) leaveStateOf(instance string) leaveState {
	notice := in.leaveNotice.Load()
	switch {
	case notice == nil || notice.instance != instance:
		return notLeaving
	case notice.expires.IsZero():
		return certainlyLeaving
	case time.Now().Before(notice.expires):
		return maybeLeaving
	default:
		return notLeaving
	}
}

// carryLeaveNotice applies the notice of a worker to the next instance under the same id, for a
// limited time: that instance may have sent it before its catalog record arrived.
func (in *Inbound) carryLeaveNotice(local snapshot.Local) {
	notice := in.leaveNotice.Load()
	if notice == nil || notice.id != local.ID || notice.instance == local.Instance {
		return
	}
	in.leaveNotice.Store(&leaveNotice{instance: local.Instance, id: local.ID, at: notice.at, expires: notice.at.Add(leaveNoticeCarryover)})
}

// recordLimit records the limit in requests per second that a response of the worker reports.
func (in *Inbound) recordLimit(x *exchange, response *http.Response) {
	limit, err := workerlimit.Parse(response.Header[in.config.Protocol.Limit])
	if err != nil {
		in.logInvalidLimit(x, err)
		return
	}
	now := time.Now()
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.report.instance != x.instance {
		return // a response of the previous instance
	}
	if a.report.limit.Record(limit, x.sent, now) {
		a.applyLimit(now)
		in.logLimit(now)
	}
}

// logLimit logs that the worker has changed or removed its limit. The caller holds the mutex.
func (in *Inbound) logLimit(now time.Time) {
	report := &in.admitter.report
	limit := report.limit.Current()
	fields := logging.Fields{"instance": report.instance, "sent": report.sent.Count(now), "within_ms": workerlimit.SentWindow.Milliseconds()}
	if !limit.Limited {
		logging.Event(in.config.Logger, "worker.unlimited", fields)
		return
	}
	fields["limit"] = limit.Rate.String()
	fields["since_ms"] = now.Sub(report.limit.Since()).Milliseconds()
	logging.Event(in.config.Logger, "worker.limited", fields)
}

// logInvalidLimit logs, once per instance of the worker, that its limit cannot be parsed.
func (in *Inbound) logInvalidLimit(x *exchange, err error) {
	report := &in.admitter.report
	in.admitter.mutex.Lock()
	defer in.admitter.mutex.Unlock()
	if report.instance != x.instance || report.invalidLimit {
		return
	}
	report.invalidLimit = true
	logging.Problem(in.config.Logger, "worker.limitUnreadable", err, logging.Fields{"instance": x.instance})
}

// WorkerLimit is the limit that the local worker reports, and the requests that it was sent.
type WorkerLimit struct {
	Limited   bool    `json:"limited"`   // whether the worker reports a limit
	PerSecond float64 `json:"perSecond"` // limit in requests per second, from all nodes together
	ForS      float64 `json:"forS"`      // seconds since it first reported one
	Sent      int     `json:"sent"`      // requests within workerlimit.SentWindow
}

// Limit returns the current limit of the local worker and the requests that it was sent. It is
// safe for concurrent use.
func (in *Inbound) Limit() WorkerLimit {
	now := time.Now()
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reported := a.report.limit.Current()
	limit := WorkerLimit{Limited: reported.Limited, PerSecond: float64(reported.Rate), Sent: a.report.sent.Count(now)}
	if reported.Limited {
		limit.ForS = now.Sub(a.report.limit.Since()).Seconds()
	}
	return limit
}

// registerLimit registers the values of Limit as metrics.
func (in *Inbound) registerLimit() {
	if in.config.Registerer == nil {
		return
	}
	register := func(name, help string, read func(WorkerLimit) float64) {
		in.config.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return read(in.Limit()) }))
	}
	register("sliphead_worker_limited", "1 while the local worker names a limit.", func(limit WorkerLimit) float64 {
		if limit.Limited {
			return 1
		}
		return 0
	})
	register("sliphead_worker_limit_per_second", "Requests a second that the local worker takes from all nodes together, while it names a limit.", func(limit WorkerLimit) float64 { return limit.PerSecond })
	register("sliphead_worker_sent_recently", "Requests that the local worker was sent in the last four seconds.", func(limit WorkerLimit) float64 { return float64(limit.Sent) })
}

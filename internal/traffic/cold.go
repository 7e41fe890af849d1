package traffic

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
	"sliphead/internal/traffic/closing"
	"sliphead/internal/traffic/coldstart"
)

// healthTimeout bounds the wait for the response of the worker's health endpoint, which is
// served in turn with ordinary requests.
const healthTimeout = time.Second

// checkColdCapacity refuses a request with outcome not-run, before it is queued, if a cold
// worker has no capacity for it and it may not wait until the worker is warm.
func (in *Inbound) checkColdCapacity(next stage) stage {
	return func(x *exchange) result {
		if !in.allowedWhileCold(x, in.admitter.hasColdCapacity) && !in.waitUntilWarm(x) {
			return refuseCold()
		}
		return next(x)
	}
}

// takeColdCapacity counts a request that is about to be sent against the capacity of a cold
// worker, and refuses it if none is left.
func (in *Inbound) takeColdCapacity(next stage) stage {
	return func(x *exchange) result {
		if !in.allowedWhileCold(x, in.admitter.takeColdCapacity) {
			return refuseCold()
		}
		return next(x)
	}
}

func refuseCold() result {
	return refuse(causeCold, 0, "send it again later, the worker has just started and takes few requests")
}

// allowedWhileCold reports whether allowed accepts the request now. It starts a health probe
// if one is due because it is unknown whether the worker is cold.
func (in *Inbound) allowedWhileCold(x *exchange, allowed func(closing.Urgency, time.Time) bool) bool {
	now := time.Now()
	if in.admitter.probeDue(now) {
		go in.probeHealth(x.view.Local)
	}
	return allowed(x.class.urgency(), now)
}

// urgency returns the urgency of a class at a worker that is cold or reports a limit. The
// tenant's priority decides first, where only 0 and greater are distinguished, then the route's.
func (c class) urgency() closing.Urgency {
	urgency := closing.Urgent
	if c.tenantPriority > 0 {
		urgency = closing.LowerTenantUrgent
	}
	if admission.ClassOfRank(0, c.rank) > admission.Interactive {
		urgency++
	}
	return urgency
}

func (a *admitter) hasColdCapacity(urgency closing.Urgency, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.cold.CanSend(urgency, now)
}

func (a *admitter) takeColdCapacity(urgency closing.Urgency, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.cold.Acquire(urgency, now)
}

func (a *admitter) probeDue(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.cold.ProbeDue(now)
}

// UpdateLocal applies a new catalog record of the local worker. A new instance, and one whose
// zone was evacuated until now, is treated as just started and therefore cold.
func (in *Inbound) UpdateLocal(local snapshot.Local) {
	now := time.Now()
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.recorded
	a.recorded = local
	a.resetOnNewInstance(local.Instance, now)
	if before.Instance != local.Instance {
		in.carryLeaveNotice(local)
		in.reportReplaced(before)
	}
	a.cold.Bind(coldstart.Bound{
		PerSecond: local.ColdPerSecond, Overage: in.config.Limits.ColdOverage, Slack: in.config.Limits.ColdSlack, Duration: local.ColdStart,
	})
	if before.Instance != local.Instance || before.Evacuated && !local.Evacuated {
		a.cold.MarkStarted(now)
	}
	if before.Instance != local.Instance || before.ColdRemaining != local.ColdRemaining {
		a.cold.ExtendCold(local.ColdRemaining, now)
	}
}

// recordColdness updates the cold-start state from the result of a request at the worker. A
// worker that refuses connections is down, and cold when it is up again. One that breaks a
// connection may have restarted.
func (in *Inbound) recordColdness(failure *result) {
	now := time.Now()
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case failure == nil || failure.reachedWorker:
		a.cold.RecordResponse(now)
	case failure.cause == causeConnect:
		a.cold.MarkStarted(now)
	case failure.cause == causeBroken:
		a.cold.SuspectRestart()
	}
}

// probeHealth requests the worker's health to find out for how long it stays cold.
func (in *Inbound) probeHealth(local snapshot.Local) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	remaining, err := in.coldRemaining(ctx, local)
	in.admitter.mutex.Lock()
	defer in.admitter.mutex.Unlock()
	switch {
	case err == nil:
		in.admitter.cold.RecordProbe(remaining, time.Now())
		return
	case ctx.Err() == nil:
		in.admitter.cold.MarkStarted(time.Now()) // the worker is down, rather than slow to respond
	}
	logging.Problem(in.config.Logger, "worker.healthUnknown", err, logging.Fields{"instance": local.Instance})
}

// maxHealthBody bounds the body of a health response, in bytes.
const maxHealthBody = 64 << 10

// discardHealthBody reads the body, so that a response that breaks off tells nothing and the
// connection can be reused.
func discardHealthBody(body io.Reader) error {
	const remedy = "answer health requests with a short whole response"
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxHealthBody+1))
	if err != nil {
		return fault.Wrap(err, fault.Worker, remedy, "the worker's health response broke off")
	}
	if count > maxHealthBody {
		return fault.New(fault.Worker, remedy, "the worker's health response is longer than %d bytes", maxHealthBody)
	}
	return nil
}

// coldRemaining requests the worker's health and returns for how long the worker stays cold.
// A successful response without that header means that the worker is not cold.
func (in *Inbound) coldRemaining(ctx context.Context, local snapshot.Local) (time.Duration, error) {
	watch := newWriteTracker(http.MethodGet)
	request, err := http.NewRequestWithContext(watch.in(ctx), http.MethodGet, "http://"+in.config.WorkerAddress+local.HealthPath, nil)
	if err != nil {
		return 0, err
	}
	_, transport := in.worker.connections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := discardHealthBody(response.Body); err != nil {
		return 0, err
	}
	if named := get(response.Header, in.config.Protocol.Instance); named != "" && named != local.ID {
		return 0, fault.New(fault.Worker, "update the catalog record of the worker at this address", "health response came from instance %s instead of %s", named, local.ID)
	}
	reported := get(response.Header, in.config.Protocol.ColdRemaining)
	if reported == "" && response.StatusCode != http.StatusOK {
		return 0, fault.New(fault.Worker, "report the remaining cold time in the worker's health response", "worker health endpoint returned status %d", response.StatusCode)
	}
	if reported == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseFloat(reported, 64)
	if err != nil {
		return 0, fault.Wrap(err, fault.Worker, "report the remaining cold time in milliseconds in the worker's health response", "invalid remaining cold time %q", reported)
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

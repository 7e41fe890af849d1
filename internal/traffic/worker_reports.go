package traffic

import (
	"slices"
	"sync"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/workerlimit"
)

// workerReports tracks what workers have reported about themselves in the responses that this
// node has passed on to callers. A worker's own node has more recent reports, unless it has
// restarted; it therefore receives them with requests. It is safe for concurrent use.
type workerReports struct {
	mutex        sync.Mutex
	limits       map[string]*reportedLimit // by instance, of workers that report one
	leaving      map[string]struct{}       // instances that have announced that they leave
	leavingOrder []string                  // instances in leaving, the latest last
}

// reportedLimit is the limit of a worker, and when a response last reported it.
type reportedLimit struct {
	limit workerlimit.Limit
	at    time.Time
}

const (
	// maxWorkerReports bounds the number of workers that are tracked. Beyond it, all limits are
	// dropped, and of the leaving instances the oldest one.
	maxWorkerReports = 1024

	// limitRetention is how long a limit is passed on after the last response that reported it.
	limitRetention = 10 * time.Second
)

func newWorkerReports() *workerReports {
	return &workerReports{limits: map[string]*reportedLimit{}, leaving: map[string]struct{}{}}
}

// recordLimit records the limit that a worker's response reports; sent is when the request was
// sent. Invalid values are ignored, since the worker's own node logs them.
func (r *workerReports) recordLimit(instance string, values []string, sent, now time.Time) {
	limit, err := workerlimit.Parse(values)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reported := r.limits[instance]
	if err != nil || reported == nil && !limit.Limited {
		return
	}
	if reported == nil {
		if len(r.limits) >= maxWorkerReports {
			clear(r.limits)
		}
		reported = &reportedLimit{}
		r.limits[instance] = reported
	}
	reported.limit.Record(limit, sent, now)
	reported.at = now
	if !reported.limit.Current().Limited {
		delete(r.limits, instance)
	}
}

// recordLeaving records that an instance has announced that it leaves. That is permanent, since
// instance names are not reused.
func (r *workerReports) recordLeaving(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, recorded := r.leaving[instance]; recorded {
		return
	}
	if len(r.leavingOrder) >= maxWorkerReports {
		delete(r.leaving, r.leavingOrder[0])
		r.leavingOrder = slices.Delete(r.leavingOrder, 0, 1)
	}
	r.leaving[instance] = struct{}{}
	r.leavingOrder = append(r.leavingOrder, instance)
}

// withoutLeaving returns the endpoints whose workers have not announced that they leave.
func (r *workerReports) withoutLeaving(endpoints []snapshot.Endpoint) []snapshot.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.leaving) == 0 {
		return endpoints
	}
	leaves := func(endpoint snapshot.Endpoint) bool {
		_, leaving := r.leaving[endpoint.Worker]
		return leaving
	}
	if !slices.ContainsFunc(endpoints, leaves) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), leaves)
}

// limitOf returns the limit of a worker in requests per second, or false if none was reported
// within limitRetention.
func (r *workerReports) limitOf(instance string, now time.Time) (workerlimit.Rate, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reported := r.limits[instance]
	if reported == nil || now.Sub(reported.at) > limitRetention {
		return 0, false
	}
	return reported.limit.Current().Rate, true
}

// recordReport records what the response of a worker reports about the worker itself; sent is when
// the request was sent.
func (out *Outbound) recordReport(instance string, got *answer, sent time.Time) {
	header, protocol := got.response.Header, &out.config.Protocol
	out.reports.recordLimit(instance, header[protocol.Limit], sent, time.Now())
	if protocol.announcesLeaving(header) {
		out.reports.recordLeaving(instance)
	}
}

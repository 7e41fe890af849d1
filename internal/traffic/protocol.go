package traffic

import (
	"net/http"
	"strconv"
	"strings"

	"sliphead/internal/outcome"
)

// Protocol names the headers that callers and workers use instead of sliphead's own. Names are
// in canonical form. The zero Protocol stands for sliphead's own headers.
type Protocol struct {
	RequestID      string // identifies a request, on requests and responses
	Deadline       string // milliseconds left, on requests
	CallerService  string // on requests to workers: the service of the node that received the request from its caller
	TargetInstance string // on requests to workers: any other instance must refuse the request
	NotExecuted    string // on a worker's responses: it did not run the request
	Signature      string // on a worker's responses: a success without it does not come from a worker
	Tenant         string // on requests to workers: the tenant whose key the caller gave
	Instance       string // on a worker's health responses: its id
	ColdRemaining  string // on a worker's health responses: milliseconds for which it remains cold
	Limit          string // on a worker's responses: requests per second that it accepts from all nodes together
	Leaving        string // on a worker's responses: 1 when it drains
}

// isNative reports whether callers and workers use sliphead's own headers.
func (p *Protocol) isNative() bool { return p.RequestID == "" }

// setsOnWorkerRequest reports whether sliphead itself sets a header on requests to workers, so
// that values from callers are dropped.
func (p *Protocol) setsOnWorkerRequest(name string) bool {
	return name == p.CallerService || name == p.TargetInstance || name == p.Tenant
}

// acceptCaller removes the headers that a caller must not set and copies the caller's deadline
// to sliphead's header.
func (p *Protocol) acceptCaller(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) || p.setsOnWorkerRequest(name) {
			delete(header, name)
		}
	}
	if deadline := get(header, p.Deadline); deadline != "" {
		header[outcome.Deadline] = []string{deadline}
	}
}

// workerFields returns the headers of a request to a worker.
func (p *Protocol) workerFields(x *exchange) []field {
	fields := make([]field, 0, usualFields)
	fields = append(fields,
		field{p.RequestID, x.id},
		field{p.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
		field{p.TargetInstance, x.view.Local.ID})
	if x.caller != "" {
		fields = append(fields, field{p.CallerService, x.caller})
	}
	if x.tenant.name != "" {
		fields = append(fields, field{p.Tenant, x.tenant.name})
	}
	return fields
}

// belongsToOtherRequest reports whether a response carries the id of another request, as a
// late response to an earlier one does.
func (p *Protocol) belongsToOtherRequest(x *exchange, response *http.Response) bool {
	id := get(response.Header, p.RequestID)
	return id != "" && id != x.id
}

// announcesLeaving reports whether a worker's response announces that it drains.
func (p *Protocol) announcesLeaving(header http.Header) bool {
	const leaves = "1"
	return strings.TrimSpace(get(header, p.Leaving)) == leaves
}

// impliesNotRun reports whether callers take a status as the promise that the request has not run
// and never will, so that they may send one again that must not run twice.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// workerRefused reports whether a worker's response states that it did not run the request.
func (p *Protocol) workerRefused(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || hasHeader(response.Header, p.NotExecuted)
}

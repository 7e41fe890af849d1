package traffic

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sliphead/internal/outcome"
)

// Protocol names the headers that callers and workers use where they are not
// sliphead's own. Names are in canonical form. The zero Protocol stands for
// sliphead's own.
type Protocol struct {
	RequestID      string // names a request, on requests and answers
	Deadline       string // milliseconds left, on requests
	CallerService  string // on requests to workers: the service beside the node that took the request
	TargetInstance string // on requests to workers: any other instance is to refuse
	NotExecuted    string // on a worker's answers: it did not run the request
	Signature      string // on a worker's answers: a success without it is no answer of a worker
	Instance       string // on a worker's answers: its id
	WorkerLoad     string // on a worker's answers: requests running, waiting and slots
}

// own reports whether callers and workers use sliphead's own headers.
func (p *Protocol) own() bool { return p.RequestID == "" }

// sets reports whether a header is one that the system sets itself on requests
// to workers, so that callers' values count for nothing.
func (p *Protocol) sets(name string) bool {
	return name == p.CallerService || name == p.TargetInstance
}

// acceptCaller turns a caller's headers into sliphead's own and drops those
// that a caller must not set.
func (p *Protocol) acceptCaller(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) || p.sets(name) {
			delete(header, name)
		}
	}
	if deadline := get(header, p.Deadline); deadline != "" {
		header[outcome.Deadline] = []string{deadline}
	}
}

// workerFields are the headers of a request to a worker.
func (p *Protocol) workerFields(x *exchange) []field {
	fields := make([]field, 0, usualFields)
	fields = append(fields,
		field{p.RequestID, x.id},
		field{p.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
		field{p.TargetInstance, x.instance})
	if x.caller != "" {
		fields = append(fields, field{p.CallerService, x.caller})
	}
	return fields
}

// belongsElsewhere reports whether an answer names another request: one that
// came late, in the place of the one awaited.
func (p *Protocol) belongsElsewhere(x *exchange, response *http.Response) bool {
	id := get(response.Header, p.RequestID)
	return id != "" && id != x.id
}

// workerRefused reports whether a worker's answer says that it did not run the
// request.
func (p *Protocol) workerRefused(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || hasHeader(response.Header, p.NotExecuted)
}

// Headers between two nodes of a catalog's mesh.
const (
	instanceHeader = "Sliphead-Instance" // the instance that is to run the request
	callerHeader   = "Sliphead-Caller"   // the service beside the node that took the request
	classHeader    = "Sliphead-Class"    // how it is to be treated, see class
	signalHeader   = "Sliphead-Signal"   // asks for a sign at once that the request has come
	workerHeader   = "Sliphead-Worker"   // on refusals: the worker itself refused
)

// class is how a worker's node is to treat a request.
type class struct {
	rank       int           // priority, 0 is served first
	repeatable bool          // whether it may run more than once
	objective  time.Duration // left of the latency objective; 0: none
	returning  bool          // whether it comes back after a refusal
}

// encode returns rank, flags and milliseconds, joined by slashes.
func (c class) encode() string {
	return strconv.Itoa(c.rank) + "/" + flag(c.repeatable) + flag(c.returning) + "/" + strconv.FormatInt(c.objective.Milliseconds(), 10)
}

func flag(set bool) string {
	if set {
		return "1"
	}
	return "0"
}

// decodeClass reads what encode wrote.
func decodeClass(text string) (class, bool) {
	const parts = 3
	split := strings.Split(text, "/")
	if len(split) != parts || len(split[1]) != 2 {
		return class{}, false
	}
	rank, rankErr := strconv.Atoi(split[0])
	objective, objectiveErr := strconv.ParseInt(split[2], 10, 64)
	return class{
		rank:       rank,
		repeatable: split[1][0] == '1',
		returning:  split[1][1] == '1',
		objective:  time.Duration(objective) * time.Millisecond,
	}, rankErr == nil && objectiveErr == nil
}

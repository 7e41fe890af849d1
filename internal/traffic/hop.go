package traffic

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/balance"
)

// hopHeader carries all data about one attempt between two nodes of a catalog's mesh: a
// hopRequest on the request, a hopReply on the response. It is one short header, because
// bytes between zones cost money.
const hopHeader = "Sliphead-Hop"

const hopSeparator = ";"

// class states how a worker's node is to treat a request.
type class struct {
	tenantPriority    int           // priority of its tenant, 0 is served first; 0 without a tenant
	rank              int           // priority of its route among tenants of the same priority, 0 is served first
	repeatable        bool          // whether it may run more than once
	waitsForDeadline  bool          // whether it may wait until its deadline rather than its latency objective
	callerRetried     bool          // whether its caller was refused before, so that a late response is acceptable
	callsFailedBefore bool          // whether an earlier run of it failed because calls that it depends on failed
	objective         time.Duration // time left of the latency objective; 0: none
}

// hopRequest is what a caller's node sends to a worker's node.
type hopRequest struct {
	attempt        string // id of the attempt
	instance       string // instance that is to run the request
	caller         string // service of the node that received the request from its caller
	route          string
	class          class
	hasAlternative bool          // whether the caller's node has another endpoint: a full worker's node then refuses rather than queues
	rerouteTime    time.Duration // with hasAlternative: time to reach that endpoint; a request that expects a shorter wait is queued nevertheless
	tenant         credential
	repeated       bool // whether a worker has received the request before
}

// encode joins the fields; texts are escaped.
func (h hopRequest) encode() string {
	flags := flag('r', h.class.repeatable) + flag('p', h.class.waitsForDeadline) + flag('b', h.class.callerRetried) + flag('u', h.class.callsFailedBefore) + flag('a', h.repeated) + flag('e', h.hasAlternative)
	return strings.Join([]string{
		h.attempt, url.PathEscape(h.instance), url.PathEscape(h.caller), url.PathEscape(h.route),
		h.class.priority(), flags, formatMilliseconds(h.class.objective), formatMilliseconds(h.rerouteTime), h.tenant.encode(),
	}, hopSeparator)
}

func flag(name rune, set bool) string {
	if set {
		return string(name)
	}
	return ""
}

// decodeHopRequest parses the output of encode and reports whether it is valid.
func decodeHopRequest(text string) (hopRequest, bool) {
	const parts = 9
	split := strings.Split(text, hopSeparator)
	if len(split) != parts {
		return hopRequest{}, false
	}
	tenantPriority, rank, prioritySound := decodePriority(split[4])
	objective, objectiveErr := strconv.ParseInt(split[6], 10, 64)
	read := hopRequest{
		attempt: split[0],
		class: class{
			tenantPriority:    tenantPriority,
			rank:              rank,
			repeatable:        strings.Contains(split[5], "r"),
			waitsForDeadline:  strings.Contains(split[5], "p"),
			callerRetried:     strings.Contains(split[5], "b"),
			callsFailedBefore: strings.Contains(split[5], "u"),
			objective:         time.Duration(objective) * time.Millisecond,
		},
		hasAlternative: strings.Contains(split[5], "e"),
		repeated:       strings.Contains(split[5], "a"),
		rerouteTime:    parseMilliseconds(split[7]),
	}
	tenant, tenantSound := decodeCredential(split[8])
	read.tenant = tenant
	var instanceErr, callerErr, routeErr error
	read.instance, instanceErr = url.PathUnescape(split[1])
	read.caller, callerErr = url.PathUnescape(split[2])
	read.route, routeErr = url.PathUnescape(split[3])
	sound := prioritySound && objectiveErr == nil && instanceErr == nil && callerErr == nil && routeErr == nil && tenantSound
	return read, sound && validID(read.attempt) && read.instance != ""
}

// prioritySeparator separates the priority of the route from that of the tenant.
const prioritySeparator = "."

// priority encodes the route's priority and, if it is not 0, the tenant's.
func (c class) priority() string {
	rank := strconv.Itoa(c.rank)
	if c.tenantPriority == 0 {
		return rank
	}
	return rank + prioritySeparator + strconv.Itoa(c.tenantPriority)
}

// decodePriority parses the output of priority and reports whether it is valid.
func decodePriority(text string) (tenant, rank int, sound bool) {
	first, second, both := strings.Cut(text, prioritySeparator)
	rank, err := strconv.Atoi(first)
	if err != nil || !both {
		return 0, rank, err == nil
	}
	tenant, err = strconv.Atoi(second)
	return tenant, rank, err == nil
}

// hopReply is what a worker's node reports to the caller's node.
type hopReply struct {
	attempt       string
	outcome       outcome.Outcome
	reachedWorker bool // whether the worker itself refused
	full          bool // whether it was refused because the worker was full and another endpoint seemed to be free
	quarantined   bool // whether the request is in quarantine
	keyWithdrawn  bool // whether the caller's key was withdrawn
	crashedBefore bool // whether an earlier worker also crashed while running the request
	rejected      bool // whether the worker itself refused it while accepting others
	leaving       bool // whether the worker has announced that it drains
	limited       bool // whether the worker has reported a limit and already receives that rate
	internal      bool // whether only runs of other services call the route
	callFailed    bool // whether calls of the worker failed while it ran the request
	load          balance.Load
	hasLoad       bool // whether load was reported
}

// encodeHopReply returns the hop header of a response; ended is nil for a response of the
// worker.
func encodeHopReply(x *exchange, reported outcome.Outcome, ended *result) string {
	flags := string(reported[:1]) + flag('i', x.internal) + flag('d', x.callFailed)
	if ended != nil {
		flags += flag('j', ended.rejected) + flag('w', ended.reachedWorker) + flag('f', ended.cause == causeFull) + flag('q', ended.cause == causeQuarantine) + flag('k', ended.cause == causeKey) + flag('c', ended.crashedBefore) + flag('l', ended.cause == causeLimit) + flag('o', ended.cause == causeLeaving)
	}
	return strings.Join([]string{x.attempt, flags, encodeLoad(x.load())}, hopSeparator)
}

// decodeHopReply parses the output of encodeHopReply.
func decodeHopReply(text string) hopReply {
	attempt, rest, _ := strings.Cut(text, hopSeparator)
	flags, load, _ := strings.Cut(rest, hopSeparator)
	read := hopReply{attempt: attempt, outcome: outcome.Unknown, reachedWorker: strings.Contains(flags, "w"), full: strings.Contains(flags, "f"), quarantined: strings.Contains(flags, "q"), keyWithdrawn: strings.Contains(flags, "k"), crashedBefore: strings.Contains(flags, "c")}
	switch {
	case strings.HasPrefix(flags, "a"):
		read.outcome = outcome.Answered
	case strings.HasPrefix(flags, "n"):
		read.outcome = outcome.NotRun
	}
	read.rejected = strings.Contains(flags, "j")
	read.leaving = strings.Contains(flags, "o")
	read.limited = strings.Contains(flags, "l")
	read.internal = strings.Contains(flags, "i")
	read.callFailed = strings.Contains(flags, "d")
	read.load, read.hasLoad = parseLoad(load)
	return read
}

// refusal returns the failure that a node's reply reports, nil if the reply carries a worker's
// response.
func (h hopReply) refusal(response *http.Response) *result {
	if h.outcome == outcome.Answered {
		return nil
	}
	refused := result{
		outcome:       h.outcome,
		status:        response.StatusCode,
		cause:         causeRefused,
		reachedWorker: h.reachedWorker,
		rejected:      h.rejected,
		crashedBefore: h.crashedBefore,
	}
	if h.outcome == outcome.NotRun {
		refused.remedy = "send it again later, the workers are busy or leave"
		refused.retryAfter = h.load.Wait + h.load.Link + h.load.PausedFor
	} else {
		refused.remedy = "check whether it ran before sending it again, no usable answer came from its worker"
	}
	switch {
	case h.quarantined:
		refused.cause = causeQuarantine
	case h.keyWithdrawn:
		refused.cause = causeKey
	case h.leaving:
		refused.cause = causeLeaving
	case h.limited:
		refused.cause = causeLimit
	case h.full:
		refused.cause = causeFull
	}
	return &refused
}

// SetNotRunReply marks a response, to a request for which a listener has no room, as a refusal that
// did not run, so that the caller's node recognizes it. It does nothing if the request does not
// come from another node of a catalog's mesh.
func SetNotRunReply(response, request http.Header) {
	received, sound := decodeHopRequest(get(request, hopHeader))
	if !sound {
		return
	}
	flags := string(outcome.NotRun[:1])
	response[hopHeader] = []string{strings.Join([]string{received.attempt, flags, ""}, hopSeparator)}
}

// suppressDefaultHeaders prevents net/http from adding headers that no node reads.
func suppressDefaultHeaders(header http.Header) {
	header["Date"] = nil
	if _, given := header["Content-Type"]; !given {
		header["Content-Type"] = nil
	}
}

// refuseToNode ends an exchange between nodes with a refusal, which consists of headers alone.
func refuseToNode(x *exchange, ended result) {
	header := x.writer.Header()
	suppressDefaultHeaders(header)
	header[hopHeader] = []string{encodeHopReply(x, ended.outcome, &ended)}
	header["Content-Length"] = []string{"0"}
	if x.unread() {
		header["Connection"] = []string{"close"}
	}
	x.writer.WriteHeader(ended.status)
}

package traffic

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// Bounds of one request's way through a catalog's mesh.
const (
	mostCrossing = 3                      // of these, in other zones
	mostOffers   = 6                      // nodes that a request is offered to
	leastWait    = 20 * time.Millisecond  // told as Retry-After
	mostWait     = time.Second            // told as Retry-After
	firstSilent  = 80 * time.Millisecond  // without a sign, after which a node is given up
	mostSilent   = 300 * time.Millisecond // the same, where there is time
	silentShare  = 6                      // part of the time left that is spent on a silent node
)

// dispatch takes a request to a worker where views come from a catalog: it
// offers the request to nodes until one takes it. An offer that a node refuses
// costs nothing; a request that a worker has seen is sent again only within the
// route's attempts and the retry budget.
func (out *Outbound) dispatch(x *exchange) result {
	d := dispatch{out: out, x: x, last: refuse(causeEndpoints, 0, "send it again later, no worker takes this route now")}
	for _, target := range out.weights.order(x.route) {
		if ended, done := d.offerTo(target); done {
			return ended
		}
	}
	return d.giveUp()
}

// dispatch is the state of one request's offers.
type dispatch struct {
	out        *Outbound
	x          *exchange
	last       result
	answered   *answer // a worker's own failure, to be passed on if no other worker does better
	mayHaveRun bool
	attempts   int // workers that the request was sent to
	offers     int
	crossing   int           // offers to other zones
	soonest    time.Duration // the shortest wait that a refusing node told; 0: none
}

// offerTo tries the endpoints of one service.
func (d *dispatch) offerTo(target snapshot.Target) (result, bool) {
	d.out.budget.count(target.Service)
	need := d.need()
	var excluded []int
	for d.offers < mostOffers && d.x.context.Err() == nil {
		choice := d.out.chooser.cheapest(need, target.Endpoints, excluded)
		if choice.Index < 0 {
			return result{}, false
		}
		excluded = append(excluded, choice.Index)
		if d.tooFar(target.Endpoints[choice.Index]) {
			d.out.chooser.ended(d.x, target.Endpoints[choice.Index], balance.Observation{})
			continue
		}
		if choice.Hopeless {
			d.out.chooser.ended(d.x, target.Endpoints[choice.Index], balance.Observation{})
			d.noteWait(choice.Wait)
			continue
		}
		d.x.class.patient = choice.Patient
		if ended, done := d.try(target, choice); done {
			return ended, true
		}
	}
	return result{}, false
}

// tooFar reports whether an endpoint in another zone is not to be asked, since
// enough others were: each question costs bytes between zones.
func (d *dispatch) tooFar(endpoint snapshot.Endpoint) bool {
	return endpoint.Zone != d.out.config.Zone && d.crossing >= mostCrossing
}

// need is what the request asks of an endpoint.
func (d *dispatch) need() balance.Need {
	const usualAnswer, kilo = 2500, 1000
	return balance.Need{
		Route:     d.x.route.Name,
		Objective: max(time.Millisecond, d.x.route.Objective-time.Since(d.x.started)),
		Deadline:  time.Until(d.x.deadline),
		Kilobytes: float64(d.x.body.length+usualAnswer) / kilo,
		BytePrice: d.out.config.BytePrice,
	}
}

// try makes one offer. It reports whether the request has ended.
func (d *dispatch) try(target snapshot.Target, choice balance.Choice) (result, bool) {
	if d.attempts > 0 && !d.out.budget.take(target.Service, d.out.nodes()) {
		return d.giveUp(), true
	}
	endpoint := target.Endpoints[choice.Index]
	d.offers++
	if endpoint.Zone != d.out.config.Zone {
		d.crossing++
	}
	d.x.offers, d.x.instance = d.offers, endpoint.Worker
	d.x.elsewhere = choice.Another && d.offers < mostOffers
	got, seen, failure := d.out.offer(d.x, endpoint)
	d.out.chooser.ended(d.x, endpoint, seen)
	if d.attempts > 0 && failure != nil && failure.outcome == outcome.NotRun && !failure.arrived {
		d.out.budget.giveBack(target.Service)
	}
	if failure == nil {
		return d.accept(got)
	}
	ended, done := d.refused(failure)
	d.x.attempts = d.attempts
	if !done {
		d.tellRetry(failure)
	}
	return ended, done
}

// accept passes an answer on. A worker's own failure is kept back while another
// worker may do better.
func (d *dispatch) accept(got *answer) (result, bool) {
	d.attempts++
	failed := got.isWhole && got.response.StatusCode >= http.StatusInternalServerError
	if failed && d.mayRepeat() {
		d.answered = got
		d.mayHaveRun = true
		return result{}, false
	}
	return got.pass(d.x), true
}

// refused decides whether a failed offer may be followed by another.
func (d *dispatch) refused(failure *result) (result, bool) {
	d.last = *failure
	if failure.sent {
		return *failure, true
	}
	if failure.outcome == outcome.NotRun {
		d.noteWait(failure.retryAfter)
		if failure.arrived {
			d.attempts++
		}
		if failure.arrived && d.attempts >= d.x.route.MaxAttempts || failure.cause == causeCallerGone {
			return d.giveUp(), true
		}
		return result{}, false
	}
	d.attempts++
	d.mayHaveRun = true
	if d.mayRepeat() {
		return result{}, false
	}
	return d.giveUp(), true
}

// mayRepeat reports whether a request that may have run may run again.
func (d *dispatch) mayRepeat() bool {
	return d.x.route.Repeatable && d.attempts < d.x.route.MaxAttempts && d.x.context.Err() == nil && d.x.request.Context().Err() == nil
}

func (d *dispatch) noteWait(told time.Duration) {
	if told > 0 && (d.soonest == 0 || told < d.soonest) {
		d.soonest = told
	}
}

// giveUp is the final answer of a request that no worker has answered well. It
// may write to the caller, so it is called once, at the end.
func (d *dispatch) giveUp() result {
	if d.answered != nil {
		return d.answered.pass(d.x)
	}
	ended := asOne(d.last, d.mayHaveRun)
	if ended.outcome != outcome.NotRun {
		return ended
	}
	if ended.cause != causeCallerGone {
		ended.status = http.StatusServiceUnavailable
	}
	ended.retryAfter = min(max(d.soonest, leastWait), mostWait)
	return ended
}

// offer sends the request to the node beside an endpoint, which may be this one.
func (out *Outbound) offer(x *exchange, endpoint snapshot.Endpoint) (*answer, balance.Observation, *result) {
	if endpoint.Local && out.local != nil {
		return out.offerLocal(x, endpoint)
	}
	told := hopRequest{attempt: out.newAttempt(), instance: endpoint.Worker, caller: x.caller, route: x.route.Name, class: x.classLeft(), elsewhere: x.elsewhere}
	fields := []field{
		{hopHeader, told.encode()},
		{out.config.Protocol.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
	}
	seen := balance.Observation{}
	began := time.Now()
	check := func(response *http.Response) *result {
		said := decodeHopAnswer(get(response.Header, hopHeader))
		if said.attempt != told.attempt {
			return foreign()
		}
		seen.Load, seen.Loaded = said.load, said.loaded
		return said.refusal(response)
	}
	offered := !x.route.Repeatable || x.body.length > directBody
	to := hop{pool: out.pool, transport: out.transport, address: endpoint.Address, fields: fields, expect: true, offer: offered, silence: x.patience()}
	got, failure := send(x, &to, check)
	if failure == nil {
		seen.Latency = time.Since(began)
		return got, seen, nil
	}
	seen.Failed = blamesNode(failure, seen)
	seen.Unreachable = failure.cause == causeConnect || failure.cause == causeSilent
	return nil, seen, failure
}

// offerLocal runs the request at the worker beside this node.
func (out *Outbound) offerLocal(x *exchange, endpoint snapshot.Endpoint) (*answer, balance.Observation, *result) {
	inner := *x
	inner.attempt = ""
	inner.instance = endpoint.Worker
	inner.class = x.classLeft()
	inner.granted = nil
	ended := out.local.serveLocal(&inner)
	load, _ := parseLoad(out.local.admitter.load(&inner))
	seen := balance.Observation{Load: load, Loaded: true}
	switch {
	case ended.answer != nil:
		return ended.answer, seen, nil
	case ended.sent:
		return nil, seen, &ended
	}
	ended.retryAfter = load.Wait
	seen.Failed = blamesNode(&ended, seen)
	return nil, seen, &ended
}

// blamesNode reports whether a failure speaks against an endpoint.
func blamesNode(failure *result, seen balance.Observation) bool {
	switch failure.cause {
	case causeCallerGone, causeFull, causeQueue, causeDeadline, causeNested:
		return false
	case causeRefused:
		return !seen.Loaded || seen.Load.Busy < seen.Load.Slots
	default:
		return true
	}
}

// classLeft is how the worker's node is to treat the request from now on.
func (x *exchange) classLeft() class {
	left := x.class
	if left.objective > 0 {
		left.objective = max(time.Millisecond, left.objective-time.Since(x.started))
	}
	return left
}

// patience is how long a node may give no sign before it is given up.
func (x *exchange) patience() time.Duration {
	return min(max(time.Until(x.deadline)/silentShare, firstSilent), mostSilent)
}

// cheapest chooses an endpoint.
func (c *chooser) cheapest(need balance.Need, endpoints []snapshot.Endpoint, excluded []int) balance.Choice {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.balancer.Cheapest(time.Now(), need, endpoints, excluded)
}

// weights deals the requests of each route to its services in turn, so that
// each gets its share over any longer stretch (smooth weighted round robin).
type weights struct {
	mutex   sync.Mutex
	credits map[string][]int // by route, in the order of its targets
}

// order returns the route's targets, the one whose turn it is first.
func (w *weights) order(route *snapshot.Route) []snapshot.Target {
	if len(route.Targets) <= 1 {
		return route.Targets
	}
	first := w.next(route)
	ordered := []snapshot.Target{route.Targets[first]}
	return append(ordered, slices.Delete(slices.Clone(route.Targets), first, first+1)...)
}

func (w *weights) next(route *snapshot.Route) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	credits := w.credits[route.Name]
	if len(credits) != len(route.Targets) {
		credits = make([]int, len(route.Targets))
		w.credits[route.Name] = credits
	}
	total, first := 0, 0
	for index, target := range route.Targets {
		credits[index] += target.Weight
		total += target.Weight
		if credits[index] > credits[first] {
			first = index
		}
	}
	credits[first] -= total
	return first
}

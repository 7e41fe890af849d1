package traffic

import (
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// chooser guards a balancer for concurrent use by request goroutines.
type chooser struct {
	mutex    sync.Mutex
	balancer *balance.Balancer
	logger   log.Interface
}

// pick chooses an endpoint and reports whether another one seems to be free.
func (c *chooser) pick(x *exchange, tried []int) (index int, hasAlternative bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	index = c.balancer.Pick(time.Now(), x.route.Endpoints, tried)
	return index, c.balancer.HasAlternative(index)
}

func (c *chooser) record(x *exchange, endpoint snapshot.Endpoint, observed balance.Observation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lostBefore := c.balancer.RegionUnreachable(endpoint.Region)
	c.balancer.Ended(time.Now(), x.route.Name, endpoint, observed)
	c.logRegionChange(endpoint.Region, lostBefore)
}

// logRegionChange logs that a region has become unreachable or reachable again.
func (c *chooser) logRegionChange(region string, lostBefore bool) {
	lostNow := c.balancer.RegionUnreachable(region)
	switch {
	case lostNow && !lostBefore:
		c.logger.WithFields(logging.Fields{"region": region}).Warn("region.lost")
	case lostBefore && !lostNow:
		c.logger.WithFields(logging.Fields{"region": region}).Info("region.reached")
	}
}

// choose attempts endpoints until one responds or no further attempt is allowed.
func (out *Outbound) choose(x *exchange) result {
	out.retries.deposit()
	last := refuse(causeEndpoints, time.Second, "send it again later, no worker takes this route now")
	mayHaveRun := false
	var tried []int
	reroutes := 0
	for {
		index, hasAlternative := out.chooser.pick(x, tried)
		if index < 0 {
			break
		}
		endpoint := x.route.Endpoints[index]
		got, observed, failure := out.try(x, endpoint, hasAlternative && reroutes < maxReroutes)
		if failure == nil {
			ended := got.pass(x)
			observed.Failed = ended.cut && x.request.Context().Err() == nil
			out.chooser.record(x, endpoint, observed)
			return ended
		}
		out.chooser.record(x, endpoint, observed)
		last = *failure
		mayHaveRun = mayHaveRun || failure.outcome == outcome.Unknown
		if !out.mayRetry(x, failure) {
			break
		}
		if failure.cause == causeFull && reroutes < maxReroutes {
			reroutes++
			out.metrics.retries.Inc()
			continue
		}
		if len(tried)+1 == len(x.route.Endpoints) || !out.spendRetry(x) {
			break
		}
		tried = append(tried, index)
	}
	return combinedResult(last, mayHaveRun)
}

// combinedResult returns the final result of a request whose last attempt ended as given. If
// an earlier attempt may have run, the request is not reported as not run.
func combinedResult(last result, mayHaveRun bool) result {
	if mayHaveRun && last.outcome == outcome.NotRun {
		return unknown(http.StatusBadGateway, last.cause, "an earlier try may have run, check before sending it again")
	}
	return last
}

// try sends the request to one endpoint. It returns the response, what was observed of the
// endpoint, and how the attempt failed. With hasAlternative, the endpoint's node is asked to
// refuse the request instead of queueing it.
func (out *Outbound) try(x *exchange, endpoint snapshot.Endpoint, hasAlternative bool) (*answer, balance.Observation, *result) {
	attempt := out.newID()
	fields := append(x.contextFields(), field{outcome.Route, x.route.Name}, field{attemptHeader, attempt})
	if hasAlternative {
		fields = append(fields, field{alternativeHeader, "1"})
	}
	observed := balance.Observation{}
	began := time.Now()
	check := func(response *http.Response) *result {
		if failure := checkNodeResponse(x, attempt, response); failure != nil {
			return failure
		}
		observed.Load, observed.HasLoad = parseLoad(get(response.Header, outcome.Load))
		if x.body.stream == nil {
			observed.Latency = time.Since(began)
		}
		return markFull(nodeRefusal(response), response)
	}
	got, failure := send(x, &hop{pool: out.pool, transport: out.transport, address: endpoint.Address, fields: fields, expectStreamed: true}, check)
	if failure != nil {
		observed.Latency = 0
		observed.Failed = countsAgainstEndpoint(failure, observed)
	} else {
		got.replayed = hasHeader(got.response.Header, replayedHeader)
	}
	return got, observed, failure
}

// countsAgainstEndpoint reports whether a failure counts against the endpoint, without a
// catalog. A refusal by the node of a busy worker does not: the reported load already accounts
// for it.
func countsAgainstEndpoint(failure *result, observed balance.Observation) bool {
	switch failure.cause {
	case causeCallerGone, causeFull:
		return false
	case causeRefused:
		return failure.status >= http.StatusInternalServerError && observed.Load.Busy < observed.Load.Slots
	default:
		return true
	}
}

// checkNodeResponse rejects a response that belongs to another attempt.
func checkNodeResponse(x *exchange, attempt string, response *http.Response) *result {
	if get(response.Header, attemptHeader) == attempt && get(response.Header, outcome.RequestID) == x.id {
		return nil
	}
	return foreign()
}

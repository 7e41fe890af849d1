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

// chooser lets request goroutines share a balancer.
type chooser struct {
	mutex    sync.Mutex
	balancer *balance.Balancer
	logger   log.Interface
}

// pick chooses an endpoint and tells whether another one seems to be free.
func (c *chooser) pick(x *exchange, tried []int) (index int, another bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	index = c.balancer.Pick(time.Now(), x.route.Endpoints, tried)
	return index, c.balancer.Another(index)
}

func (c *chooser) ended(x *exchange, endpoint snapshot.Endpoint, seen balance.Observation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.balancer.Lost(endpoint.Region)
	c.balancer.Ended(time.Now(), x.route.Name, endpoint, seen)
	c.tellRegion(endpoint.Region, before)
}

// tellRegion logs that a region was lost, or is reached again.
func (c *chooser) tellRegion(region string, before bool) {
	now := c.balancer.Lost(region)
	switch {
	case now && !before:
		c.logger.WithFields(logging.Fields{"region": region}).Warn("region.lost")
	case before && !now:
		c.logger.WithFields(logging.Fields{"region": region}).Info("region.reached")
	}
}

// choose tries endpoints until one answers or no further try is allowed.
func (out *Outbound) choose(x *exchange) result {
	out.retries.deposit()
	last := refuse(causeEndpoints, time.Second, "send it again later, no worker takes this route now")
	mayHaveRun := false
	var tried []int
	moves := 0
	for {
		index, another := out.chooser.pick(x, tried)
		if index < 0 {
			break
		}
		endpoint := x.route.Endpoints[index]
		got, seen, failure := out.try(x, endpoint, another && moves < mostMoves)
		if failure == nil {
			ended := got.pass(x)
			seen.Failed = ended.cut && x.request.Context().Err() == nil
			out.chooser.ended(x, endpoint, seen)
			return ended
		}
		out.chooser.ended(x, endpoint, seen)
		last = *failure
		mayHaveRun = mayHaveRun || failure.outcome == outcome.Unknown
		if !worthRetrying(x, failure) {
			break
		}
		if failure.cause == causeFull && moves < mostMoves {
			moves++
			out.metrics.retries.Inc()
			continue
		}
		if len(tried)+1 == len(x.route.Endpoints) || !out.spendRetry(x) {
			break
		}
		tried = append(tried, index)
	}
	return asOne(last, mayHaveRun)
}

// asOne is the ending of a request whose last try ended as given: if an
// earlier try may have run, it is not told as not run.
func asOne(last result, mayHaveRun bool) result {
	if mayHaveRun && last.outcome == outcome.NotRun {
		return unknown(http.StatusBadGateway, last.cause, "an earlier try may have run, check before sending it again")
	}
	return last
}

// try sends the request to one endpoint. It returns the answer, what was seen
// of the endpoint, and how the try failed.
// With elsewhere it asks the endpoint's node to refuse rather than to queue it.
func (out *Outbound) try(x *exchange, endpoint snapshot.Endpoint, elsewhere bool) (*answer, balance.Observation, *result) {
	attempt := out.newID()
	fields := append(x.contextFields(), field{outcome.Route, x.route.Name}, field{attemptHeader, attempt})
	if elsewhere {
		fields = append(fields, field{elsewhereHeader, "1"})
	}
	seen := balance.Observation{}
	began := time.Now()
	check := func(response *http.Response) *result {
		if failure := checkNode(x, attempt, response); failure != nil {
			return failure
		}
		seen.Load, seen.Loaded = parseLoad(get(response.Header, outcome.Load))
		if x.body.stream == nil {
			seen.Latency = time.Since(began)
		}
		return markFull(refusedByNode(response), response)
	}
	got, failure := send(x, &hop{pool: out.pool, transport: out.transport, address: endpoint.Address, fields: fields, expect: true}, check)
	if failure != nil {
		seen.Latency = 0
		seen.Failed = blames(failure, seen)
	} else {
		got.replayed = hasHeader(got.response.Header, replayedHeader)
	}
	return got, seen, failure
}

// blames reports whether a failure speaks against the endpoint. A refusal by a
// worker's node that is busy does not: its load says enough.
func blames(failure *result, seen balance.Observation) bool {
	switch failure.cause {
	case causeCallerGone, causeFull:
		return false
	case causeRefused:
		return failure.status >= http.StatusInternalServerError && seen.Load.Busy < seen.Load.Slots
	default:
		return true
	}
}

// checkNode refuses an answer that belongs to another try.
func checkNode(x *exchange, attempt string, response *http.Response) *result {
	if get(response.Header, attemptHeader) == attempt && get(response.Header, outcome.RequestID) == x.id {
		return nil
	}
	return foreign()
}

// Package outcome defines the outcomes of requests and the HTTP headers that carry them
// between nodes and to callers. Every request has exactly one outcome.
package outcome

// Outcome states whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the worker's complete response was forwarded.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a worker, or that the worker itself
	// rejected it before running it. A request that must not be repeated may be retried after
	// this outcome only.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of sliphead. All except Header, RequestID and IdempotencyKey are internal: the
// edge removes them from callers' requests.
const (
	Header         = "Sliphead-Outcome"      // on responses: the outcome
	Remedy         = "Sliphead-Remedy"       // on rejections: what to do
	RequestID      = "Sliphead-Request-Id"   // on requests and responses: checked to match on each hop
	Deadline       = "Sliphead-Deadline-Ms"  // milliseconds left until the request's deadline
	RetryBudget    = "Sliphead-Retry-Budget" // retries left for the whole call tree, in thousandths
	Route          = "Sliphead-Route"        // name of the route chosen by the caller's node
	Attempt        = "Sliphead-Attempt"      // on requests to a worker: ID of this attempt; a worker that rejects the request returns it
	Depth          = "Sliphead-Depth"        // level in the call tree, from 0
	Load           = "Sliphead-Load"         // on responses: running and queued requests at the worker's node, "busy/slots/queued"
	IdempotencyKey = "Idempotency-Key"       // ID of a request that must run at most once
)

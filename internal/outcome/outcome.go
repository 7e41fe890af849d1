// Package outcome names how a request ended and the HTTP headers that carry
// this between nodes and to callers. Every request ends in exactly one outcome.
package outcome

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the worker's whole answer was passed on.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a worker, or that the
	// worker itself refused before running it. Only this allows a request that
	// may not be repeated to be tried again.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of sliphead. All but Header, RequestID and IdempotencyKey are
// internal: the edge strips them from callers' requests.
const (
	Header         = "Sliphead-Outcome"      // on answers: the outcome
	Remedy         = "Sliphead-Remedy"       // on refusals: what to do
	RequestID      = "Sliphead-Request-Id"   // on requests and answers: matched on each hop
	Deadline       = "Sliphead-Deadline-Ms"  // milliseconds left for the request
	RetryBudget    = "Sliphead-Retry-Budget" // retries left for the whole call tree, in thousandths
	Route          = "Sliphead-Route"        // name of the route chosen by the caller's node
	Attempt        = "Sliphead-Attempt"      // on requests to a worker: names this try; a worker's own refusal echoes it
	Depth          = "Sliphead-Depth"        // level in the call tree, from 0
	Load           = "Sliphead-Load"         // on answers: busy and queued requests of the worker's node, "busy/slots/queued"
	IdempotencyKey = "Idempotency-Key"       // names a request that may run at most once
)

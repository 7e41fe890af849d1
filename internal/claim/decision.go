// Package claim lets a request that may not be repeated run at most once.
// Before it runs, the worker's node claims the request's idempotency key at a
// majority of a replica group. Machine does no I/O and reads no clock; Keeper runs
// it on one goroutine.
package claim

// Verdict is the outcome of a claim.
type Verdict string

// The verdicts on a claim.
const (
	VerdictRun        Verdict = "run"       // the caller holds the key and may run the request, once
	VerdictAnswered   Verdict = "answered"  // the request ran before; its stored response is in Response
	VerdictAlreadyRan Verdict = "ran"       // the request ran before; its response is no longer stored
	VerdictBusy       Verdict = "busy"      // another attempt holds the key and may be running the request
	VerdictMismatch   Verdict = "mismatch"  // the key was used for another request
	VerdictNoQuorum   Verdict = "no-quorum" // no majority of the replicas voted; the request must not run
)

// Decision is the result of a claim.
type Decision struct {
	Verdict  Verdict
	Holder   string // identifies this attempt for Finish and Release; set with VerdictRun
	Response []byte // the stored response; set with VerdictAnswered
}

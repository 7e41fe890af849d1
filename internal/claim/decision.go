// Package claim lets a request that may not be repeated run at most once.
// Before it runs, the worker's node claims the request's idempotency key at a
// majority of a replica group. The state machines are pure; Keeper runs them
// on one goroutine.
package claim

// Verdict is what a claim came to.
type Verdict string

// The verdicts on a claim.
const (
	VerdictRun      Verdict = "run"       // the caller holds the key and may run the request, once
	VerdictAnswered Verdict = "answered"  // it ran before; the kept answer is in Answer
	VerdictRan      Verdict = "ran"       // it ran before and the answer is no longer kept
	VerdictBusy     Verdict = "busy"      // another attempt holds the key and may be running it
	VerdictMismatch Verdict = "mismatch"  // the key was used for another request
	VerdictNoQuorum Verdict = "no-quorum" // no majority answered: not run
)

// Decision is the answer to a claim.
type Decision struct {
	Verdict Verdict
	Holder  string // names this attempt, for Finish and Release; set with VerdictRun
	Answer  []byte // set with VerdictAnswered
}

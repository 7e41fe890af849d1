package load

import (
	"fmt"
	"strconv"

	"sliphead/lab/worker"
)

// Audit holds the contradictions between the results that callers received and the
// workers' journals.
type Audit struct {
	WrongResponses     []string // responses reported as answered that were incomplete or of another request
	RanDespiteNotRun   []string // attempts reported as not run that ran
	RanMoreThanOnce    []string // idempotency keys, or attempts that may run once, that ran more than once
	AnsweredWithoutRun []string // attempts reported as answered whose nonce is in no journal
}

// Violations returns the texts of all contradictions.
func (a Audit) Violations() []string {
	var all []string
	all = append(all, a.WrongResponses...)
	all = append(all, a.RanDespiteNotRun...)
	all = append(all, a.RanMoreThanOnce...)
	return append(all, a.AnsweredWithoutRun...)
}

// attemptID identifies an attempt in the journals.
type attemptID struct{ nonce, attempt, path string }

// Compare audits attempts against the journals of all workers. The journals must
// be complete: a worker process that exited has lost its journal.
func Compare(attempts []Attempt, runs []worker.Run) Audit {
	var audit Audit
	byAttempt := map[attemptID]int{}
	byNonce := map[string]int{}
	byKey := map[string][]worker.Run{}
	for _, run := range runs {
		byAttempt[attemptID{run.Nonce, run.Attempt, run.Path}]++
		byNonce[run.Nonce]++
		if run.IdempotencyKey != "" {
			byKey[run.IdempotencyKey] = append(byKey[run.IdempotencyKey], run)
		}
	}
	for _, attempt := range attempts {
		ran := byAttempt[attemptID{attempt.Nonce, strconv.Itoa(attempt.Number), attempt.Path}]
		audit.classify(attempt, ran, byNonce[attempt.Nonce])
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			audit.RanMoreThanOnce = append(audit.RanMoreThanOnce, fmt.Sprintf("key %s ran %d times, on %s and %s", key, len(runs), runs[0].Worker, runs[1].Worker))
		}
	}
	return audit
}

func (a *Audit) classify(attempt Attempt, attemptRuns, nonceRuns int) {
	name := fmt.Sprintf("%s attempt %d through %s", attempt.Nonce, attempt.Number, attempt.Edge)
	if attempt.Once && attemptRuns > 1 {
		a.RanMoreThanOnce = append(a.RanMoreThanOnce, fmt.Sprintf("%s ran %d times", name, attemptRuns))
	}
	switch {
	case attempt.Ending == EndingWrong:
		a.WrongResponses = append(a.WrongResponses, name+": "+attempt.Cause)
	case attempt.Ending == EndingNotRun && attemptRuns > 0:
		a.RanDespiteNotRun = append(a.RanDespiteNotRun, name+" was reported as not run, but a worker ran it")
	case attempt.Ending == EndingAnswered && nonceRuns == 0:
		a.AnsweredWithoutRun = append(a.AnsweredWithoutRun, name+" was answered, but no worker ran it")
	}
}

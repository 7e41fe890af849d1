package load

import (
	"fmt"
	"strconv"

	"sliphead/lab/worker"
)

// Audit compares what callers were told with what the workers' journals say.
type Audit struct {
	Wrong         []string // answers passed on as whole that were not, or belonged to another
	RanThoughNot  []string // attempts said to be not run that ran
	RanTwice      []string // keys, or attempts that may not be repeated, that ran more than once
	AnsweredNever []string // attempts answered that no journal knows
}

// Violations returns all findings.
func (a Audit) Violations() []string {
	var all []string
	all = append(all, a.Wrong...)
	all = append(all, a.RanThoughNot...)
	all = append(all, a.RanTwice...)
	return append(all, a.AnsweredNever...)
}

// submissionID names one attempt as journals see it.
type submissionID struct{ nonce, attempt, path string }

// Compare audits attempts against the journals of all workers. Journals must
// be whole: no worker's process may have ended.
func Compare(attempts []Attempt, runs []worker.Run) Audit {
	var audit Audit
	byAttempt := map[submissionID]int{}
	byNonce := map[string]int{}
	byKey := map[string][]worker.Run{}
	for _, run := range runs {
		byAttempt[submissionID{run.Nonce, run.Attempt, run.Path}]++
		byNonce[run.Nonce]++
		if run.IdempotencyKey != "" {
			byKey[run.IdempotencyKey] = append(byKey[run.IdempotencyKey], run)
		}
	}
	for _, attempt := range attempts {
		ran := byAttempt[submissionID{attempt.Nonce, strconv.Itoa(attempt.Number), attempt.Path}]
		audit.classify(attempt, ran, byNonce[attempt.Nonce])
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			audit.RanTwice = append(audit.RanTwice, fmt.Sprintf("key %s ran %d times, on %s and %s", key, len(runs), runs[0].Worker, runs[1].Worker))
		}
	}
	return audit
}

func (a *Audit) classify(attempt Attempt, ranAttempt, ranAtAll int) {
	name := fmt.Sprintf("%s attempt %d through %s", attempt.Nonce, attempt.Number, attempt.Edge)
	if attempt.Once && ranAttempt > 1 {
		a.RanTwice = append(a.RanTwice, fmt.Sprintf("%s ran %d times", name, ranAttempt))
	}
	switch {
	case attempt.Ending == EndingWrong:
		a.Wrong = append(a.Wrong, name+": "+attempt.Cause)
	case attempt.Ending == EndingNotRun && ranAttempt > 0:
		a.RanThoughNot = append(a.RanThoughNot, name+" was said to be not run, yet a worker ran it")
	case attempt.Ending == EndingAnswered && ranAtAll == 0:
		a.AnsweredNever = append(a.AnsweredNever, name+" was answered, yet no worker ran it")
	}
}

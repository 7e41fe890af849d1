package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how a request is to be treated. Higher ones are stricter, but for OnTrial.
type State int

// The states of a request.
const (
	Free      State = iota // nothing is known against it
	Suspected              // workers ended under it, fewer than it takes to hold it
	Held                   // it is sent to no worker
	OnTrial                // it was held, and one copy may be sent to the owner of its trials
)

// String names the state in logs and status.
func (s State) String() string {
	return [...]string{"free", "suspected", "held", "on-trial"}[s]
}

// Verdict is what is known of a request at a moment.
type Verdict struct {
	State   State
	Workers []string  // instances that ended under it since it was last released
	Trials  int       // that a held request has had
	Until   time.Time // of a held request: when its next trial is due, or its end
}

// verdict says how the request is to be treated.
func (h *history) verdict(now time.Time) Verdict {
	switch {
	case len(h.crashes) == 0:
		return Verdict{}
	case len(h.crashes) < crashesToHold:
		return Verdict{State: Suspected, Workers: sources(h.crashes)}
	}
	verdict := Verdict{State: Held, Workers: sources(h.crashes), Trials: len(h.trials)}
	if len(h.trials) >= len(trialAfter) {
		verdict.Until = h.latest.Add(memory)
		return verdict
	}
	verdict.Until = later(latest(h.crashes), latest(h.trials)).Add(trialAfter[len(h.trials)])
	if !now.Before(verdict.Until) {
		verdict.State = OnTrial
	}
	return verdict
}

// latest is the latest of some records, the zero time of none.
func latest(records map[string]time.Time) time.Time {
	var found time.Time
	for _, at := range records {
		found = later(found, at)
	}
	return found
}

// sources returns the sources of records, sorted.
func sources(records map[string]time.Time) []string {
	return slices.Sorted(maps.Keys(records))
}

// View is what traffic reads: the requests that are known, at one moment. It is immutable.
type View struct {
	heads map[Head]struct{}
	cases map[Fingerprint]*history
}

// Empty reports whether no request is known.
func (v *View) Empty() bool { return v == nil || len(v.cases) == 0 }

// Knows reports whether some request with this head is known: only then is the digest of
// a body worth its cost.
func (v *View) Knows(head Head) bool {
	if v == nil {
		return false
	}
	_, known := v.heads[head]
	return known
}

// Verdict says how a request is to be treated now.
func (v *View) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	if v == nil || v.cases[fingerprint] == nil {
		return Verdict{}
	}
	return v.cases[fingerprint].verdict(now)
}

// Count returns how many requests are suspected, and how many are held or on trial.
func (v *View) Count(now time.Time) (suspected, held int) {
	if v == nil {
		return 0, 0
	}
	for _, each := range v.cases {
		switch each.verdict(now).State {
		case Suspected:
			suspected++
		case Held, OnTrial:
			held++
		}
	}
	return suspected, held
}

// HeldRequest is a held request, for operators.
type HeldRequest struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       string      `json:"state"`
	Workers     []string    `json:"workers"`          // instances that ended under it
	TrialIn     float64     `json:"trialInSeconds"`   // until its next trial, or until it is forgotten
	Trials      int         `json:"trials,omitempty"` // so far
}

// Held returns the held requests, sorted by when their trials are due, up to a number.
func (v *View) Held(most int, now time.Time) []HeldRequest {
	if v == nil {
		return nil
	}
	var found []HeldRequest
	for fingerprint, each := range v.cases {
		verdict := each.verdict(now)
		if verdict.State < Held {
			continue
		}
		found = append(found, HeldRequest{
			Fingerprint: fingerprint, State: verdict.State.String(), Workers: verdict.Workers,
			TrialIn: max(0, verdict.Until.Sub(now).Seconds()), Trials: verdict.Trials,
		})
	}
	slices.SortFunc(found, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(a.TrialIn, b.TrialIn), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return found[:min(most, len(found))]
}

// view returns what is known, for traffic to read.
func (l *ledger) view() *View {
	view := &View{heads: make(map[Head]struct{}, len(l.cases)), cases: maps.Clone(l.cases)}
	for fingerprint := range l.cases {
		view.heads[fingerprint.Head()] = struct{}{}
	}
	return view
}

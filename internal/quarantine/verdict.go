package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how a request is to be treated. Higher states are stricter, except for OnTrial.
type State int

// The states of a request.
const (
	Free      State = iota // no crash is recorded
	Suspected              // workers crashed under it, but fewer than crashesToHold
	Held                   // it is sent to no worker
	OnTrial                // it was held, and one copy may be sent to the owner of its trials
)

// String returns the name of the state in logs and status.
func (s State) String() string {
	return [...]string{"free", "suspected", "held", "on-trial"}[s]
}

// Verdict is how a request is to be treated at a given time, and why.
type Verdict struct {
	State   State
	Workers []string  // instances that crashed under it since its last release
	Trials  int       // number of trials of a held request so far
	Until   time.Time // of a held request: when its next trial is due, or when its records expire
}

// verdict returns how the request is to be treated now.
func (h *history) verdict(now time.Time) Verdict {
	switch {
	case len(h.crashes) == 0:
		return Verdict{}
	case len(h.crashes) < crashesToHold:
		return Verdict{State: Suspected, Workers: sources(h.crashes)}
	}
	verdict := Verdict{State: Held, Workers: sources(h.crashes), Trials: len(h.trials)}
	if len(h.trials) >= len(trialDelays) {
		verdict.Until = h.latest.Add(retention)
		return verdict
	}
	verdict.Until = later(latest(h.crashes), latest(h.trials)).Add(trialDelays[len(h.trials)])
	if !now.Before(verdict.Until) {
		verdict.State = OnTrial
	}
	return verdict
}

// latest returns the latest time, or the zero time if there are no records.
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

// View is an immutable view of all requests with records, used by traffic.
type View struct {
	heads     map[Head]struct{}
	histories map[Fingerprint]*history
}

// Empty reports whether there are no records.
func (v *View) Empty() bool { return v == nil || len(v.histories) == 0 }

// HasHead reports whether there are records of a request with this head. Only then does the
// digest of a request's body need to be computed.
func (v *View) HasHead(head Head) bool {
	if v == nil {
		return false
	}
	_, known := v.heads[head]
	return known
}

// Verdict returns how a request is to be treated now.
func (v *View) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	if v == nil || v.histories[fingerprint] == nil {
		return Verdict{}
	}
	return v.histories[fingerprint].verdict(now)
}

// Count returns the number of suspected requests, and of those held or on trial.
func (v *View) Count(now time.Time) (suspected, held int) {
	if v == nil {
		return 0, 0
	}
	for _, each := range v.histories {
		switch each.verdict(now).State {
		case Suspected:
			suspected++
		case Held, OnTrial:
			held++
		}
	}
	return suspected, held
}

// HeldRequest describes a held request to operators.
type HeldRequest struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       string      `json:"state"`
	Workers     []string    `json:"workers"`          // instances that crashed under it
	TrialIn     float64     `json:"trialInSeconds"`   // until its next trial, or until its records expire
	Trials      int         `json:"trials,omitempty"` // so far
}

// Held returns up to limit held requests, sorted by the time of their next trial.
func (v *View) Held(limit int, now time.Time) []HeldRequest {
	if v == nil {
		return nil
	}
	var found []HeldRequest
	for fingerprint, each := range v.histories {
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
	return found[:min(limit, len(found))]
}

// view returns an immutable view of the current records.
func (l *ledger) view() *View {
	view := &View{heads: make(map[Head]struct{}, len(l.histories)), histories: maps.Clone(l.histories)}
	for fingerprint := range l.histories {
		view.heads[fingerprint.Head()] = struct{}{}
	}
	return view
}

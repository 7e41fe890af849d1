package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of what a request may do to workers, and of what is remembered.
const (
	// crashesToHold is under how many crashes of workers a request is held. One worker that ends
	// takes all that it runs along, and so may a second one that some of it was repeated
	// at: with two, one of six innocent requests beside a poison one would be held
	// (computed: both are repeated at one of six workers). The operators allow three.
	crashesToHold = 3

	// memory is for how long the records of a request are kept after the last one: a
	// request that comes once a day ends three workers and no more.
	memory = 24 * time.Hour

	// memoryMargin keeps records that other nodes are about to forget from coming back.
	memoryMargin = time.Minute

	// mostCases bounds the requests that are remembered: 2 MB at most. Each worker that
	// ends adds what it ran, 6 to 13 requests.
	mostCases = 2048

	// mostSources bounds the records of one kind for one request. More than three workers
	// end under it only while nodes are cut off from each other.
	mostSources = 16
)

// trialAfter is for how long a request is held before its first, second and third trial:
// one copy at one worker, which ends the worker if the request is what it was. A released
// worker, or an innocent request, is thus found out after a minute, at the price of three
// workers at most. After the third, only an operator lets a request go, or time.
var trialAfter = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour}

// history is what is known of one request. It is not changed once it is in a ledger.
type history struct {
	generation      uint32               // the open one
	crashes, trials map[string]time.Time // of this generation, by source
	releasedBy      string               // who closed the generation before, "" where it is not known
	latest          time.Time            // of all records
}

func (h *history) clone() *history {
	copied := *h
	copied.crashes = maps.Clone(h.crashes)
	copied.trials = maps.Clone(h.trials)
	return &copied
}

// open begins a generation and forgets what was observed in those before.
func (h *history) open(generation uint32) {
	h.generation = generation
	h.crashes = map[string]time.Time{}
	h.trials = map[string]time.Time{}
	h.releasedBy = ""
}

// add takes a record in and reports whether it is new.
func (h *history) add(record Record) bool {
	switch {
	case record.Generation < h.generation:
		return false
	case record.Kind == Released:
		h.open(record.Generation + 1)
		h.releasedBy = record.Source
		return true
	case record.Generation > h.generation:
		h.open(record.Generation) // the release before it is still on its way
	}
	of := h.crashes
	if record.Kind == Tried {
		of = h.trials
	}
	if _, known := of[record.Source]; known || len(of) >= mostSources {
		return false
	}
	of[record.Source] = record.At
	return true
}

// ledger is the set of all records of a node.
type ledger struct {
	cases map[Fingerprint]*history
	sum   uint64 // of the identities of all records, by exclusive or
}

func newLedger() *ledger { return &ledger{cases: map[Fingerprint]*history{}} }

// join takes a record in and reports whether it is new.
func (l *ledger) join(record Record, now time.Time) bool {
	if !record.Kind.valid() || now.Sub(record.At) > memory-memoryMargin {
		return false
	}
	before := l.cases[record.Fingerprint]
	if before == nil {
		before = &history{crashes: map[string]time.Time{}, trials: map[string]time.Time{}}
	}
	next := before.clone()
	if !next.add(record) {
		return false
	}
	next.latest = later(next.latest, record.At)
	if l.cases[record.Fingerprint] == nil {
		l.makeRoom(now)
	}
	l.forget(record.Fingerprint)
	l.cases[record.Fingerprint] = next
	l.addToSum(record.Fingerprint)
	return true
}

// addToSum adds the records of a request to the sum, or takes them off it.
func (l *ledger) addToSum(fingerprint Fingerprint) {
	for _, record := range l.recordsOf(fingerprint) {
		l.sum ^= record.identity()
	}
}

// generation is the open generation of a request.
func (l *ledger) generation(fingerprint Fingerprint) uint32 {
	if held := l.cases[fingerprint]; held != nil {
		return held.generation
	}
	return 0
}

// makeRoom forgets an eighth of the requests when there are too many: those heard of
// longest ago, of those that aren't held where there are any. One by one, each new record
// would look at all of them.
func (l *ledger) makeRoom(now time.Time) {
	const part = 8
	if len(l.cases) < mostCases {
		return
	}
	order := l.byImportance(now)
	for _, fingerprint := range order[len(order)-mostCases/part:] {
		l.forget(fingerprint)
	}
}

// expire forgets requests of which nothing was heard for long.
func (l *ledger) expire(now time.Time) bool {
	expired := false
	for fingerprint, each := range l.cases {
		if now.Sub(each.latest) > memory {
			l.forget(fingerprint)
			expired = true
		}
	}
	return expired
}

func (l *ledger) forget(fingerprint Fingerprint) {
	l.addToSum(fingerprint)
	delete(l.cases, fingerprint)
}

// recordsOf returns the records of one request.
func (l *ledger) recordsOf(fingerprint Fingerprint) []Record {
	held := l.cases[fingerprint]
	if held == nil {
		return nil
	}
	var records []Record
	if held.generation > 0 {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Released, Generation: held.generation - 1, Source: held.releasedBy, At: held.latest})
	}
	for _, source := range sources(held.crashes) {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Crashed, Generation: held.generation, Source: source, At: held.crashes[source]})
	}
	for _, source := range sources(held.trials) {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Tried, Generation: held.generation, Source: source, At: held.trials[source]})
	}
	return records
}

// byImportance returns the requests, held ones first and those heard of last before others.
func (l *ledger) byImportance(now time.Time) []Fingerprint {
	order := make([]Fingerprint, 0, len(l.cases))
	held := make(map[Fingerprint]bool, len(l.cases))
	for fingerprint, each := range l.cases {
		order = append(order, fingerprint)
		held[fingerprint] = each.verdict(now).State >= Held
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		return cmp.Or(boolOrder(held[a], held[b]), l.cases[b].latest.Compare(l.cases[a].latest), slices.Compare(a[:], b[:]))
	})
	return order
}

// mostImportant returns the records of the most important requests, up to about a number.
func (l *ledger) mostImportant(most int, now time.Time) []Record {
	var records []Record
	for _, fingerprint := range l.byImportance(now) {
		if len(records) >= most {
			break
		}
		records = append(records, l.recordsOf(fingerprint)...)
	}
	return records
}

// boolOrder puts what is true first.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

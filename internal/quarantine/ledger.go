package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds on the workers that a request may crash, and on the records that are retained.
const (
	// crashesToHold is the number of worker crashes under a request after which it is held. A
	// crash affects all requests that the worker runs, and a second worker may crash while it
	// runs retries of the same requests: with two crashes, one of six innocent requests run with
	// a poison one would be held (computed: both are retried on one of six workers). The
	// operators accept three crashes.
	crashesToHold = 3

	// retention is how long the records of a request are kept after the last one, so that a
	// request that is sent once a day crashes three workers and no more.
	retention = 24 * time.Hour

	// retentionMargin is the remaining retention below which a received record is rejected.
	// Otherwise a record removed here could return from a node that removes it a little later.
	retentionMargin = time.Minute

	// maxRequests bounds the requests with records: 2 MB at most. Each worker that crashes adds
	// the requests that it ran, 6 to 13.
	maxRequests = 2048

	// maxSources bounds the records of one kind for one request. More than three workers crash
	// under a request only while nodes are cut off from each other.
	maxSources = 16
)

// trialDelays are the times for which a request is held before its first, second and third
// trial. In a trial one copy is sent to one worker, which crashes if the request is still
// harmful. A fixed worker release or an innocent request is thus detected after a minute, at
// the cost of at most three workers. After the third trial, only an operator or expiry releases
// the request.
var trialDelays = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour}

// history holds the records of one request. It is immutable once it is in a ledger.
type history struct {
	generation      uint32               // the current generation
	crashes, trials map[string]time.Time // of the current generation, by source
	releasedBy      string               // source of the release that ended the previous generation; "" if not known
	latest          time.Time            // time of the latest record
}

func (h *history) clone() *history {
	copied := *h
	copied.crashes = maps.Clone(h.crashes)
	copied.trials = maps.Clone(h.trials)
	return &copied
}

// openGeneration begins a generation and discards the observations of earlier ones.
func (h *history) openGeneration(generation uint32) {
	h.generation = generation
	h.crashes = map[string]time.Time{}
	h.trials = map[string]time.Time{}
	h.releasedBy = ""
}

// add adds a record and reports whether it is new.
func (h *history) add(record Record) bool {
	switch {
	case record.Generation < h.generation:
		return false
	case record.Kind == Released:
		h.openGeneration(record.Generation + 1)
		h.releasedBy = record.Source
		return true
	case record.Generation > h.generation:
		h.openGeneration(record.Generation) // the release that ended the previous generation has not arrived yet
	}
	observations := h.crashes
	if record.Kind == Tried {
		observations = h.trials
	}
	if _, found := observations[record.Source]; found || len(observations) >= maxSources {
		return false
	}
	observations[record.Source] = record.At
	return true
}

// ledger holds all records of a node.
type ledger struct {
	histories map[Fingerprint]*history
	sum       uint64 // exclusive or of the identities of all records
}

func newLedger() *ledger { return &ledger{histories: map[Fingerprint]*history{}} }

// merge adds a record and reports whether it is new. Expired and invalid records are ignored.
func (l *ledger) merge(record Record, now time.Time) bool {
	if !record.Kind.valid() || now.Sub(record.At) > retention-retentionMargin {
		return false
	}
	before := l.histories[record.Fingerprint]
	if before == nil {
		before = &history{crashes: map[string]time.Time{}, trials: map[string]time.Time{}}
	}
	next := before.clone()
	if !next.add(record) {
		return false
	}
	next.latest = later(next.latest, record.At)
	if l.histories[record.Fingerprint] == nil {
		l.evict(now)
	}
	l.remove(record.Fingerprint)
	l.histories[record.Fingerprint] = next
	l.toggleSum(record.Fingerprint)
	return true
}

// toggleSum adds the records of a request to the sum, or removes them if they are included.
func (l *ledger) toggleSum(fingerprint Fingerprint) {
	for _, record := range l.recordsOf(fingerprint) {
		l.sum ^= record.identity()
	}
}

// generation returns the current generation of a request.
func (l *ledger) generation(fingerprint Fingerprint) uint32 {
	if history := l.histories[fingerprint]; history != nil {
		return history.generation
	}
	return 0
}

// evict removes an eighth of the requests when there are too many: first those that are not
// held, the oldest first. Evicting them one at a time would scan all requests for each new
// record.
func (l *ledger) evict(now time.Time) {
	const divisor = 8
	if len(l.histories) < maxRequests {
		return
	}
	order := l.byImportance(now)
	for _, fingerprint := range order[len(order)-maxRequests/divisor:] {
		l.remove(fingerprint)
	}
}

// expire removes requests without a record within the retention time, and reports whether there
// were any.
func (l *ledger) expire(now time.Time) bool {
	expired := false
	for fingerprint, each := range l.histories {
		if now.Sub(each.latest) > retention {
			l.remove(fingerprint)
			expired = true
		}
	}
	return expired
}

func (l *ledger) remove(fingerprint Fingerprint) {
	l.toggleSum(fingerprint)
	delete(l.histories, fingerprint)
}

// recordsOf returns the records of one request.
func (l *ledger) recordsOf(fingerprint Fingerprint) []Record {
	history := l.histories[fingerprint]
	if history == nil {
		return nil
	}
	var records []Record
	if history.generation > 0 {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Released, Generation: history.generation - 1, Source: history.releasedBy, At: history.latest})
	}
	for _, source := range sources(history.crashes) {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Crashed, Generation: history.generation, Source: source, At: history.crashes[source]})
	}
	for _, source := range sources(history.trials) {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Tried, Generation: history.generation, Source: source, At: history.trials[source]})
	}
	return records
}

// byImportance returns the requests, held ones first and then the ones with the latest records.
func (l *ledger) byImportance(now time.Time) []Fingerprint {
	order := make([]Fingerprint, 0, len(l.histories))
	held := make(map[Fingerprint]bool, len(l.histories))
	for fingerprint, each := range l.histories {
		order = append(order, fingerprint)
		held[fingerprint] = each.verdict(now).State >= Held
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		return cmp.Or(compareTrueFirst(held[a], held[b]), l.histories[b].latest.Compare(l.histories[a].latest), slices.Compare(a[:], b[:]))
	})
	return order
}

// mostImportant returns the records of the most important requests, about as many as the limit.
func (l *ledger) mostImportant(limit int, now time.Time) []Record {
	var records []Record
	for _, fingerprint := range l.byImportance(now) {
		if len(records) >= limit {
			break
		}
		records = append(records, l.recordsOf(fingerprint)...)
	}
	return records
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
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

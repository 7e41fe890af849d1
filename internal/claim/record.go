package claim

import (
	"cmp"
	"time"

	"sliphead/internal/wire"
)

// ballot orders the attempts on one key. Round 0 is open to every holder; a
// later round belongs to one holder.
type ballot struct {
	round  uint64
	holder string
}

// compare returns -1, 0 or +1. All ballots of round 0 are equal.
func (b ballot) compare(other ballot) int {
	if b.round == 0 && other.round == 0 {
		return 0
	}
	return cmp.Or(cmp.Compare(b.round, other.round), cmp.Compare(b.holder, other.holder))
}

// record is one key as a replica holds it.
type record struct {
	body     string // digest of the request that the vote was for
	holder   string // attempt voted for, "" if none
	round    uint64 // round of that vote
	promised ballot // lower ballots are refused
	finished bool
	unsure   bool // the vote of an earlier process can't be told
	answer   []byte
	expires  time.Time
}

// table is the records of one service, by key, bounded in keys and in bytes of
// kept answers.
type table struct {
	records     map[string]*record
	answers     []string // keys with a kept answer, oldest first
	answerBytes int
}

func newTable() *table { return &table{records: make(map[string]*record)} }

// find returns the unexpired record of a key, nil if there is none.
func (t *table) find(key string, now time.Time) *record {
	held := t.records[key]
	if held == nil || held.expires.After(now) {
		return held
	}
	t.remove(key)
	return nil
}

// open returns the record of a key and makes one when there is room. It
// returns nil when the table is full: an unexpired record is never evicted.
func (t *table) open(key string, now time.Time, expires time.Time, limit int) *record {
	held := t.find(key, now)
	if held == nil && len(t.records) >= limit {
		t.sweep(now)
	}
	if held == nil && len(t.records) >= limit {
		return nil
	}
	if held == nil {
		held = &record{expires: expires}
		t.records[key] = held
	}
	return held
}

// extend lengthens the life of a record.
func (r *record) extend(expires time.Time) {
	if expires.After(r.expires) {
		r.expires = expires
	}
}

// keep stores an answer if it fits, at the cost of the oldest ones.
func (t *table) keep(key string, held *record, answer []byte, each, budget int) {
	if len(answer) == 0 || len(answer) > min(each, budget) || held.answer != nil {
		return
	}
	for t.answerBytes+len(answer) > budget {
		t.dropAnswer(t.answers[0])
	}
	held.answer = answer
	t.answers = append(t.answers, key)
	t.answerBytes += len(answer)
}

// dropAnswer forgets the kept answer of a key, but not that it ran.
func (t *table) dropAnswer(key string) {
	for index, candidate := range t.answers {
		if candidate != key {
			continue
		}
		t.answers = append(t.answers[:index], t.answers[index+1:]...)
		t.answerBytes -= len(t.records[key].answer)
		t.records[key].answer = nil
		return
	}
}

func (t *table) remove(key string) {
	t.dropAnswer(key)
	delete(t.records, key)
}

// sweep removes the records whose life is over.
func (t *table) sweep(now time.Time) {
	for key, held := range t.records {
		if !held.expires.After(now) {
			t.remove(key)
		}
	}
}

// merge joins what another replica holds into a record of a replica that has
// forgotten its votes. It may have cast any vote that others report, so it
// takes the vote of the highest ballot; two holders in round 0 leave it unsure.
func (r *record) merge(copied wire.ClaimRecord) {
	promised := ballot{copied.PromisedRound, copied.PromisedHolder}
	if promised.compare(r.promised) > 0 {
		r.promised = promised
	}
	if copied.Finished && !r.finished {
		r.finished, r.body, r.holder, r.round = true, copied.Body, copied.Holder, copied.Round
	}
	r.unsure = r.unsure || copied.Unsure
	if r.finished || copied.Holder == "" {
		return
	}
	if copied.Holder == r.holder {
		r.round = max(r.round, copied.Round)
		return
	}
	theirs, ours := ballot{copied.Round, copied.Holder}, ballot{r.round, r.holder}
	switch {
	case r.holder == "" || theirs.compare(ours) > 0:
		r.holder, r.round, r.body = copied.Holder, copied.Round, copied.Body
	case theirs.compare(ours) == 0:
		r.unsure = true
	}
}

// export returns the record as it is copied, without its answer.
func (r *record) export(service, key string, now time.Time) wire.ClaimRecord {
	return wire.ClaimRecord{
		Service: service, Key: key, Body: r.body, Holder: r.holder, Round: r.round,
		Finished: r.finished, Unsure: r.unsure,
		PromisedRound: r.promised.round, PromisedHolder: r.promised.holder,
		ExpiresMS: r.expires.Sub(now).Milliseconds() + 1,
	}
}

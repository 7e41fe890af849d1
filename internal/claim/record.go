package claim

import (
	"cmp"
	"time"

	"sliphead/internal/wire"
)

// ballot orders the attempts on one key. Round 0 is open to every holder; each
// later ballot belongs to one holder.
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

// record is a replica's state of one key.
type record struct {
	bodyDigest string // digest of the request that was voted for
	holder     string // attempt voted for, "" if none
	round      uint64 // round of that vote
	promised   ballot // lower ballots are refused
	finished   bool
	unsure     bool // it is unknown which of two holders this replica's earlier process voted for
	response   []byte
	expires    time.Time
}

// table holds the records of one service by key. The number of keys and the
// total size of the stored responses are bounded.
type table struct {
	records       map[string]*record
	responseKeys  []string // keys with a stored response, oldest first
	responseBytes int
}

func newTable() *table { return &table{records: make(map[string]*record)} }

// find returns the unexpired record of a key, nil if there is none.
func (t *table) find(key string, now time.Time) *record {
	entry := t.records[key]
	if entry == nil || entry.expires.After(now) {
		return entry
	}
	t.remove(key)
	return nil
}

// findOrCreate returns the record of a key, creating it if there is room. It
// returns nil when the table is full: an unexpired record is never evicted.
func (t *table) findOrCreate(key string, now time.Time, expires time.Time, limit int) *record {
	entry := t.find(key, now)
	if entry == nil && len(t.records) >= limit {
		t.sweep(now)
	}
	if entry == nil && len(t.records) >= limit {
		return nil
	}
	if entry == nil {
		entry = &record{expires: expires}
		t.records[key] = entry
	}
	return entry
}

// extend moves the expiry of a record to a later time, never to an earlier one.
func (r *record) extend(expires time.Time) {
	if expires.After(r.expires) {
		r.expires = expires
	}
}

// storeResponse stores a response if it fits, and evicts the oldest ones to
// make room.
func (t *table) storeResponse(key string, entry *record, response []byte, maxBytes, budget int) {
	if len(response) == 0 || len(response) > min(maxBytes, budget) || entry.response != nil {
		return
	}
	for t.responseBytes+len(response) > budget {
		t.dropResponse(t.responseKeys[0])
	}
	entry.response = response
	t.responseKeys = append(t.responseKeys, key)
	t.responseBytes += len(response)
}

// dropResponse evicts the stored response of a key. The record stays finished.
func (t *table) dropResponse(key string) {
	for index, candidate := range t.responseKeys {
		if candidate != key {
			continue
		}
		t.responseKeys = append(t.responseKeys[:index], t.responseKeys[index+1:]...)
		t.responseBytes -= len(t.records[key].response)
		t.records[key].response = nil
		return
	}
}

func (t *table) remove(key string) {
	t.dropResponse(key)
	delete(t.records, key)
}

// sweep removes the expired records.
func (t *table) sweep(now time.Time) {
	for key, entry := range t.records {
		if !entry.expires.After(now) {
			t.remove(key)
		}
	}
}

// merge joins another replica's record into that of a replica that has lost its
// votes. It may have cast any vote that others report, so it takes the vote of
// the highest ballot. Two holders in round 0 have equal ballots and leave it
// unsure.
func (r *record) merge(copied wire.ClaimRecord) {
	promised := ballot{copied.PromisedRound, copied.PromisedHolder}
	if promised.compare(r.promised) > 0 {
		r.promised = promised
	}
	if copied.Finished && !r.finished {
		r.finished, r.bodyDigest, r.holder, r.round = true, copied.BodyDigest, copied.Holder, copied.Round
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
		r.holder, r.round, r.bodyDigest = copied.Holder, copied.Round, copied.BodyDigest
	case theirs.compare(ours) == 0:
		r.unsure = true
	}
}

// export returns the record as sent to other replicas, without its response.
func (r *record) export(service, key string, now time.Time) wire.ClaimRecord {
	return wire.ClaimRecord{
		Service: service, Key: key, BodyDigest: r.bodyDigest, Holder: r.holder, Round: r.round,
		Finished: r.finished, Unsure: r.unsure,
		PromisedRound: r.promised.round, PromisedHolder: r.promised.holder,
		ExpiresMS: r.expires.Sub(now).Milliseconds() + 1,
	}
}

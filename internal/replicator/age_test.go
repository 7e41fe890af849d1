package replicator

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/replication"
)

// Age counts from the store's last confirmation of the catalog in force: while a change is still
// being applied, the age is that of the previous catalog.
func TestAgeIsThatOfAppliedState(t *testing.T) {
	now := time.Unix(1000, 0)
	var r *Replicator
	var atChange []time.Duration
	r = New(Config{
		Address: "10.0.0.1", Zone: "z", Freshness: time.Second, Store: slowStore{err: ErrHistoryGone, responseDelay: time.Hour}, Problem: func(error) {},
		Changed: func(*catalog.State, []replication.Lapse) { atChange = append(atChange, r.Age()) },
		Retain:  func(bool) {}, Logger: &log.Logger{Handler: discard.Default}, Now: func() time.Time { return now },
	})
	must.Eq(t, 0, r.Age())
	change := catalog.Change{Revision: 5, Instance: &catalog.Instance{ID: "i-1", Address: "10.0.0.1:80"}}
	r.step(t.Context(), replication.PollSucceeded{Batch: catalog.Batch{To: 5, Snapshot: true, Changes: []catalog.Change{change}}, ConfirmedAt: now})
	now = now.Add(300 * time.Millisecond)
	must.Eq(t, 300*time.Millisecond, r.Age())
	change = catalog.Change{Revision: 6, Instance: &catalog.Instance{ID: "i-2", Address: "10.0.0.2:80"}}
	r.step(t.Context(), replication.PollSucceeded{Batch: catalog.Batch{From: 5, To: 6, Changes: []catalog.Change{change}}, ConfirmedAt: now.Add(-100 * time.Millisecond)})
	must.Eq(t, 100*time.Millisecond, r.Age())
	must.Eq(t, []time.Duration{0, 300 * time.Millisecond}, atChange)
}

package replicator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
	"sliphead/internal/replication"
)

// slowStore begins to respond after responseDelay and finishes transferTime later.
type slowStore struct {
	Store
	responseDelay, transferTime time.Duration
	err                         error
}

func (s slowStore) Changes(ctx context.Context, after uint64, _ time.Duration, began func()) (catalog.StoreResponse, error) {
	if !sleep(ctx, s.responseDelay) {
		return catalog.StoreResponse{}, ctx.Err()
	}
	began()
	if !sleep(ctx, s.transferTime) {
		return catalog.StoreResponse{}, ctx.Err()
	}
	return catalog.StoreResponse{From: after, To: after + 1}, s.err
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// pollOnce polls for changes without a long poll, and returns the resulting event and the time
// until it.
func pollOnce(t *testing.T, store slowStore) (event any, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Address: "10.0.0.1", Freshness: time.Second, Store: store, Problem: func(error) {}, Now: time.Now})
		polledAt := time.Now()
		r.pollStore(t.Context(), replication.Poll{After: 7})
		event, took = <-r.inputs, time.Since(polledAt)
		if succeeded, ok := event.(replication.PollSucceeded); ok {
			must.Eq(t, polledAt.Add(store.responseDelay), succeeded.ConfirmedAt)
		}
	})
	return event, took
}

// A response confirms the store's contents as of the start of the response. On a narrow link a
// response took 0.9 s to arrive, and changes made in that time counted as known, so other nodes
// polled too late.
func TestResponseConfirmsAsOfItsStart(t *testing.T) {
	event, took := pollOnce(t, slowStore{responseDelay: 100 * time.Millisecond, transferTime: 500 * time.Millisecond})
	succeeded, ok := event.(replication.PollSucceeded)
	must.True(t, ok)
	must.Eq(t, 8, succeeded.Batch.To)
	must.Eq(t, 600*time.Millisecond, took)
}

// A poll fails if the store does not respond in time or the response does not end in time. Only
// the first case counts as a timeout of the store.
func TestPollsAreBounded(t *testing.T) {
	event, took := pollOnce(t, slowStore{responseDelay: time.Hour})
	must.True(t, event.(replication.PollFailed).TimedOut)
	must.Eq(t, 200*time.Millisecond, took)
	event, took = pollOnce(t, slowStore{responseDelay: 100 * time.Millisecond, transferTime: time.Hour})
	must.False(t, event.(replication.PollFailed).TimedOut)
	must.Eq(t, 700*time.Millisecond, took)
	event, _ = pollOnce(t, slowStore{err: errors.New("refused")})
	must.False(t, event.(replication.PollFailed).TimedOut)
}

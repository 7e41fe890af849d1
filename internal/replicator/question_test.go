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

// slowStore begins to answer after a while and has answered after another.
type slowStore struct {
	Store
	begins, takes time.Duration
	err           error
}

func (s slowStore) Changes(ctx context.Context, after uint64, _ time.Duration, began func()) (catalog.Answer, error) {
	if !sleep(ctx, s.begins) {
		return catalog.Answer{}, ctx.Err()
	}
	began()
	if !sleep(ctx, s.takes) {
		return catalog.Answer{}, ctx.Err()
	}
	return catalog.Answer{From: after, To: after + 1}, s.err
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// ask puts one question for changes, without waiting for one, and returns the event
// that it led to and how long that took.
func ask(t *testing.T, store slowStore) (event any, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Address: "10.0.0.1", Freshness: time.Second, Store: store, Problem: func(error) {}, Now: time.Now})
		asked := time.Now()
		r.question(t.Context(), replication.Poll{After: 7})
		event, took = <-r.inputs, time.Since(asked)
		if answered, ok := event.(replication.PollSucceeded); ok {
			must.Eq(t, asked.Add(store.begins), answered.ConfirmedAt)
		}
	})
	return event, took
}

// An answer confirms what the store held when it began. On a narrow link it took 0.9 s
// to come, and the changes of that time counted as known: others asked too late.
func TestAnswerConfirmsAsOfItsBegin(t *testing.T) {
	event, took := ask(t, slowStore{begins: 100 * time.Millisecond, takes: 500 * time.Millisecond})
	answered, ok := event.(replication.PollSucceeded)
	must.True(t, ok)
	must.Eq(t, 8, answered.Batch.To)
	must.Eq(t, 600*time.Millisecond, took)
}

// A store that says nothing, and an answer that never ends, are failures; only the
// first one is silence.
func TestQuestionsAreBounded(t *testing.T) {
	event, took := ask(t, slowStore{begins: time.Hour})
	must.True(t, event.(replication.PollFailed).TimedOut)
	must.Eq(t, 200*time.Millisecond, took)
	event, took = ask(t, slowStore{begins: 100 * time.Millisecond, takes: time.Hour})
	must.False(t, event.(replication.PollFailed).TimedOut)
	must.Eq(t, 700*time.Millisecond, took)
	event, _ = ask(t, slowStore{err: errors.New("refused")})
	must.False(t, event.(replication.PollFailed).TimedOut)
}

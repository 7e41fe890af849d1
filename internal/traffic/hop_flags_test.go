package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/balance"
)

// A decoded hopRequest equals the encoded one.
func TestHopRequestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := func(name string) bool { return rapid.Bool().Draw(t, name) }
		sent := hopRequest{
			attempt: "t-1", instance: "i;1", caller: "shop", route: "read/all",
			class: class{
				rank: rapid.IntRange(0, 9).Draw(t, "rank"), repeatable: set("repeatable"), waitsForDeadline: set("patient"),
				callerRetried: set("returned"), callsFailedBefore: set("unlikely"), objective: 3 * time.Millisecond,
			},
			hasAlternative: set("elsewhere"), rerouteTime: time.Millisecond, repeated: set("repeat"),
		}
		read, sound := decodeHopRequest(sent.encode())
		must.True(t, sound)
		must.True(t, sent == read)
	})
}

// A decoded reply of a worker's node equals the encoded one.
func TestHopReplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := func(name string) bool { return rapid.Bool().Draw(t, name) }
		x := &exchange{attempt: "t-1", internal: set("internal"), callFailed: set("call failed"), load: func() balance.Load { return balance.Load{Slots: 2, RejectShare: 0.5} }}
		ended := &result{status: http.StatusServiceUnavailable, reachedWorker: set("arrived"), rejected: set("rejected"), crashedBefore: set("crashed")}
		read := decodeHopReply(encodeHopReply(x, outcome.NotRun, ended))
		must.Eq(t, outcome.NotRun, read.outcome)
		must.Eq(t, x.internal, read.internal)
		must.Eq(t, x.callFailed, read.callFailed)
		must.Eq(t, ended.reachedWorker, read.reachedWorker)
		must.Eq(t, ended.rejected, read.rejected)
		must.Eq(t, ended.crashedBefore, read.crashedBefore)
		must.Eq(t, 0.5, read.load.RejectShare)
	})
}

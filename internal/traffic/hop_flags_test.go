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

// What one node tells another of a request is read as it was told.
func TestHopRequestIsReadAsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := func(name string) bool { return rapid.Bool().Draw(t, name) }
		told := hopRequest{
			attempt: "t-1", instance: "i;1", caller: "shop", route: "read/all",
			class: class{
				rank: rapid.IntRange(0, 9).Draw(t, "rank"), repeatable: set("repeatable"), patient: set("patient"),
				returned: set("returned"), unlikely: set("unlikely"), objective: 3 * time.Millisecond,
			},
			elsewhere: set("elsewhere"), moveTime: time.Millisecond, repeat: set("repeat"),
		}
		read, sound := decodeHopRequest(told.encode())
		must.True(t, sound)
		must.True(t, told == read)
	})
}

// What a worker's node tells of its answer or refusal is read as it was told.
func TestHopAnswerIsReadAsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := func(name string) bool { return rapid.Bool().Draw(t, name) }
		x := &exchange{attempt: "t-1", internal: set("internal"), callFailed: set("call failed"), load: func() balance.Load { return balance.Load{Slots: 2, Rejects: 0.5} }}
		ended := &result{status: http.StatusServiceUnavailable, arrived: set("arrived"), rejected: set("rejected"), crashedBefore: set("crashed")}
		read := decodeHopAnswer(encodeHopAnswer(x, outcome.NotRun, ended))
		must.Eq(t, outcome.NotRun, read.outcome)
		must.Eq(t, x.internal, read.internal)
		must.Eq(t, x.callFailed, read.callFailed)
		must.Eq(t, ended.arrived, read.arrived)
		must.Eq(t, ended.rejected, read.rejected)
		must.Eq(t, ended.crashedBefore, read.crashedBefore)
		must.Eq(t, 0.5, read.load.Rejects)
	})
}

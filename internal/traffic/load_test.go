package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/traffic/balance"
)

// What a node tells of its worker's load is read as it was told.
func TestLoadIsReadAsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1000)
		duration := func(name string) time.Duration {
			return time.Duration(count.Draw(t, name)) * time.Millisecond
		}
		told := balance.Load{
			Busy: count.Draw(t, "busy"), Slots: count.Draw(t, "slots"), Queued: count.Draw(t, "queued"),
			Wait: duration("wait"), Run: duration("run"), Link: duration("link"), Closed: duration("closed"),
			Rejects: float64(rapid.IntRange(0, percent).Draw(t, "rejects")) / percent,
		}
		read, sound := parseLoad(encodeLoad(told))
		must.True(t, sound)
		must.Eq(t, told, read)
	})
}

func TestBadLoadIsNotRead(t *testing.T) {
	for _, text := range []string{"", "1", "1/2", "a/2/3", "1/b/3", "1/2/c"} {
		_, sound := parseLoad(text)
		must.False(t, sound, must.Sprint(text))
	}
}

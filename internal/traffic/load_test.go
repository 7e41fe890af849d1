package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/traffic/balance"
)

// A load must be decoded as it was encoded.
func TestLoadEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1000)
		duration := func(name string) time.Duration {
			return time.Duration(count.Draw(t, name)) * time.Millisecond
		}
		sent := balance.Load{
			Busy: count.Draw(t, "busy"), Slots: count.Draw(t, "slots"), Queued: count.Draw(t, "queued"),
			Wait: duration("wait"), Run: duration("run"), Link: duration("link"), PausedFor: duration("closed"),
			RejectShare: float64(rapid.IntRange(0, percent).Draw(t, "rejects")) / percent,
		}
		decoded, valid := parseLoad(encodeLoad(sent))
		must.True(t, valid)
		must.Eq(t, sent, decoded)
	})
}

func TestInvalidLoadIsRejected(t *testing.T) {
	for _, text := range []string{"", "1", "1/2", "a/2/3", "1/b/3", "1/2/c"} {
		_, valid := parseLoad(text)
		must.False(t, valid, must.Sprint(text))
	}
}

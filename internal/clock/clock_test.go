package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Differences must not fall back on the monotonic clock, which stands still while a
// machine is suspended.
func TestReadingsHaveNoMonotonicPart(t *testing.T) {
	now := Now()
	must.Eq(t, now.Round(0), now)
	must.False(t, Now().Before(now))
	must.GreaterEq(t, 0, Since(now))
	must.Less(t, time.Hour, time.Since(now).Abs())
}

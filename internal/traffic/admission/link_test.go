package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const bodyLength = 60_000

// The link is used to its capacity, whatever bound callers put on the wait.
func TestLinkCapacityIsUsed(t *testing.T) {
	for _, wait := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		link := NewLink(10)
		now := time.Unix(1000, 0)
		taken := 0
		const seconds = 10
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			if link.Wait(now) <= wait {
				link.Schedule(bodyLength, now)
				taken++
			}
		}
		must.Between(t, 0.95*seconds, float64(taken)*link.Transfer(bodyLength).Seconds(), 1.1*seconds+wait.Seconds())
	}
}

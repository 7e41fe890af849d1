package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestClockCorrectionFollowsTheMedianOfPeers(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	must.Eq(t, 0, offset.correction())

	for i := range 5 {
		offset.observe(fmt.Sprintf("peer-%d", i), now.Add(90*time.Second).UnixMilli(), now)
	}
	offset.observe("wrong", now.Add(-time.Hour).UnixMilli(), now)
	must.Eq(t, 90*time.Second, offset.correction())
}

func TestClockWithinToleranceIsLeftAlone(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	for i := range 5 {
		offset.observe(fmt.Sprintf("peer-%d", i), now.Add(500*time.Millisecond).UnixMilli(), now)
	}
	must.Eq(t, 0, offset.correction())
}

func TestClockKeepsABoundedNumberOfPeers(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	for i := range 10 * clockSamples {
		offset.observe(fmt.Sprintf("peer-%d", i), now.UnixMilli(), now)
	}
	must.MapLen(t, clockSamples, offset.byPeer)
}

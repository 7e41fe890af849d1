package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
)

func TestClockCorrectionFollowsMedianOfPeers(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	must.Eq(t, 0, offset.correction())

	for i := range 5 {
		offset.observe(fmt.Sprintf("peer-%d", i), now.Add(90*time.Second).UnixMilli(), now)
	}
	offset.observe("wrong", now.Add(-time.Hour).UnixMilli(), now)
	must.Eq(t, 90*time.Second, offset.correction())
}

func TestClockWithinToleranceIsNotCorrected(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	for i := range 5 {
		offset.observe(fmt.Sprintf("peer-%d", i), now.Add(500*time.Millisecond).UnixMilli(), now)
	}
	must.Eq(t, 0, offset.correction())
}

func TestNumberOfClockSamplesIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	offset := newClockOffset()
	for i := range 10 * maxClockSamples {
		offset.observe(fmt.Sprintf("peer-%d", i), now.UnixMilli(), now)
	}
	must.MapLen(t, maxClockSamples, offset.byPeer)
}

func TestClockCorrectionIsLoggedOncePerChange(t *testing.T) {
	p, events := newReadyLoop(t), memory.New()
	p.loop.config.Logger = &log.Logger{Handler: events}
	for _, offset := range []time.Duration{0, time.Minute, time.Minute + time.Second/2, time.Hour, 0} {
		p.now = p.now.Add(minClockReportInterval)
		for peer := range maxClockSamples {
			p.loop.clock.observe(fmt.Sprint(peer), p.now.Add(offset).UnixMilli(), p.now)
		}
		p.loop.handle(tick{}, p.now)
		p.loop.handle(tick{}, p.now)
	}
	var offsets []any
	for _, entry := range events.Entries {
		if entry.Message == "clock.corrected" {
			offsets = append(offsets, entry.Fields["offset_ms"])
		}
	}
	must.Eq(t, []any{int64(60_000), int64(3_600_000), int64(0)}, offsets)
}

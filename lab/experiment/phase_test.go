package experiment

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"sliphead/lab/event"
	"sliphead/lab/load"
)

func TestPhaseFiguresUseIntendedStartAndAreChecked(t *testing.T) {
	begin := time.Unix(1000, 0)
	phases := []Phase{
		{Name: "1x", From: begin, To: begin.Add(10 * time.Second)},
		{Name: "5x", From: begin.Add(10 * time.Second), To: begin.Add(20 * time.Second)},
	}
	var attempts []load.Attempt
	for number := range 200 {
		attempt := load.Attempt{
			Class:   "c",
			Start:   begin.Add(time.Duration(number) * 100 * time.Millisecond),
			Latency: 2 * time.Millisecond,
			Ending:  load.EndingAnswered,
		}
		if number >= 150 {
			attempt.Ending = load.EndingNotRun
		}
		attempts = append(attempts, attempt)
	}
	figures := computePhaseFigures(phases, attempts)
	must.SliceLen(t, 4, figures)
	must.Eq(t, PhaseFigures{Phase: "1x", Class: "c", OfferedPerSecond: 10, GoodputPerSecond: 10, P50MS: 2, P99MS: 2}, figures[1])
	must.Eq(t, 5, figures[3].GoodputPerSecond)

	current := &run{spec: &Spec{}, logger: &log.Logger{Handler: event.NewHandler(io.Discard)}}
	current.spec.Checks.Phases = []PhaseCheck{
		{Phase: "1x", Class: "c", Share: 1},
		{Phase: "5x", Class: "c", Share: 0.6},
		{Phase: "5x", Of: "1x", Share: 0.5},
		{Phase: "9x", Share: 1},
	}
	current.checkPhases(figures)
	must.SliceLen(t, 2, current.violations)
	must.StrContains(t, strings.Join(current.violations, "\n"), "below 0.60 of offered")
	must.StrContains(t, strings.Join(current.violations, "\n"), "phase 9x has no attempts")
}

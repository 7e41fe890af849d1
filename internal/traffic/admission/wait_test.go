package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// In a steady overload, a queue as long as the deadline allows delays every request to
// about the deadline, and half of them miss it. A shorter queue serves as many, nearly all
// in time.
func TestBoundedQueueServesOverloadInTime(t *testing.T) {
	queue := New[time.Time](Settings{Slots: 12, Length: 128})
	const (
		objective = 400 * time.Millisecond
		apart     = 5 * time.Millisecond // 200 a second, of which 12 slots serve 60 to 120
		step      = time.Millisecond
	)
	type activeRun struct {
		ticket *Ticket[time.Time]
		ends   time.Time
	}
	var running []activeRun
	served, late, granted := 0, 0, 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		var decided []*Ticket[time.Time]
		running = slices.DeleteFunc(running, func(run activeRun) bool {
			if now.Before(run.ends) {
				return false
			}
			served++
			if now.Sub(run.ticket.Waiter) > objective {
				late++
			}
			decided = append(decided, queue.Done(run.ticket, now)...)
			return true
		})
		if now.Sub(start)%apart == 0 {
			arrived, others := queue.Admit(Arrival[time.Time]{Class: Batch, Deadline: now.Add(objective), Waiter: now}, now)
			decided = append(append(decided, others...), arrived)
		}
		for _, ticket := range decided {
			if ticket.Verdict == Granted {
				granted++
				running = append(running, activeRun{ticket, now.Add(time.Duration(100+37*granted%100) * time.Millisecond)})
			}
		}
	}
	must.Greater(t, 1500, served)
	must.Less(t, served/50, late)
}

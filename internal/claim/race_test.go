package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deliverBetween delivers the messages in transit from one node to another.
func deliverBetween(s *sim, from, to *process) {
	for index := len(s.network) - 1; index >= 0; index-- {
		if s.network[index].from == from.node && s.network[index].to == to.node {
			s.deliver(index, false)
		}
	}
}

// exchange delivers the messages in transit from a process to each of the
// others, and then those in the other direction.
func exchange(s *sim, p *process, others ...*process) {
	for _, other := range others {
		deliverBetween(s, p, other)
		deliverBetween(s, other, p)
	}
}

// A replica votes, restarts, and recovers from others that have not received
// the claim yet. Guards against its old vote forming a majority with their
// later votes.
func TestVoteOfReplacedProcessDoesNotCount(t *testing.T) {
	s := newRecoveredSim(workersOf(5, 1, 3))
	group := replicasOf(s, "order")
	s.submit(group[0], "order", "body")
	exchange(s, group[0], group[1])
	s.kill(group[1])
	restarted := s.start(group[1].worker, 1)
	exchange(s, restarted, group[2:]...)
	exchange(s, group[0], group[2])
	rival := s.submit(group[3], "order", "body")
	exchange(s, group[3], restarted, group[4])
	must.Eq(t, VerdictRun, s.decided[rival].Verdict)
	must.Eq(t, 1, s.runs("order"))
}

// Two replicas still use the old workers, whose majority has left them for
// longer than records are retained. Guards against a replica of both
// configurations voting for the old one, which would let a key run in both.
func TestSettledConfigurationGetsNoVotes(t *testing.T) {
	s := newRecoveredSim(workersOf(5, 1, 3))
	s.configs = append(s.configs, workersOf(7, 3, 3)) // w03 to w09
	for _, worker := range s.configs[1] {
		if p := s.latest(worker.Name); p != nil {
			s.configure(p, 2)
			continue
		}
		s.start(worker.Name, 2)
	}
	s.advance(s.config.retention() + 5*time.Second)
	state := s.latest("w03").machine.services[simService]
	must.SliceEmpty(t, state.priors)
	key := ""
	for number := 0; key == ""; number++ {
		candidate := fmt.Sprintf("order-%d", number)
		if state.current.groups[slotOf(candidate)].contains("w03") {
			key = candidate
		}
	}
	s.cut["w01"], s.cut["w02"], s.cut["w03"] = true, true, true
	must.Eq(t, VerdictRun, claimAt(s, s.latest("w06"), key))
	must.Eq(t, VerdictNoQuorum, claimAt(s, s.latest("w01"), key))
	must.Eq(t, 1, s.runs(key))
}

// A coordinator has promises of a majority and is about to request votes. A
// replica that promised restarts. Guards against its next process voting in a
// lower ballot, which would let a rival run the key too.
func TestRestartedReplicaKeepsItsPromise(t *testing.T) {
	s := newRecoveredSim(workersOf(5, 1, 3))
	group := replicasOf(s, "order")
	first, second := group[0], group[4]
	s.submit(second, "order", "body")
	holder := s.submit(first, "order", "body")
	exchange(s, first, second) // the votes are split
	for first.machine.attempts[holder].phase != phasePromise {
		s.network = nil
		s.tick(20 * time.Millisecond)
	}
	exchange(s, first, group[1], group[2])
	must.Eq(t, phasePrepare, first.machine.attempts[holder].phase)

	s.kill(group[1])
	restarted := s.start(group[1].worker, 1)
	exchange(s, restarted, group[2], group[3], second)
	must.Eq(t, allSlots, restarted.machine.services[simService].readySlots())
	for range 5 {
		s.tick(20 * time.Millisecond)
		exchange(s, second, restarted, group[3])
	}
	exchange(s, first, restarted, group[2])
	s.advance(s.config.MaxClaim + time.Second)
	must.Eq(t, 1, s.runs("order"))
}

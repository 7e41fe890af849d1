package claim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testConfig has short times; the first vote is a second after the start.
func testConfig() Config {
	return Config{
		KeyLife: time.Minute, MaxClaim: 5 * time.Second, Retry: 50 * time.Millisecond,
		ClockSkew: 100 * time.Millisecond, Since: time.Unix(1_800_000_001, 0),
	}
}

// warmSim is a fleet that has started before Since and has recovered.
func warmSim(workers []Worker) *sim {
	s := newSim(rand.New(rand.NewPCG(1, 1)), testConfig(), workers)
	s.startAll()
	s.pass(2 * time.Second)
	return s
}

func TestClaimRunsOnceAndKeepsAnswer(t *testing.T) {
	s := warmSim(workersOf(7, 1, 4))
	first := s.submit(s.processes[0], "order-1", "body")
	s.settle()
	must.Eq(t, VerdictRun, s.decided[first].Verdict)

	again := s.submit(s.processes[3], "order-1", "body")
	s.pass(time.Second)
	must.Eq(t, VerdictBusy, s.decided[again].Verdict)

	s.step(s.processes[0], Finish{Service: simService, Key: "order-1", Holder: first, Answer: []byte("done")})
	s.settle()
	kept := s.submit(s.processes[5], "order-1", "body")
	s.pass(time.Second)
	must.Eq(t, Decision{Verdict: VerdictAnswered, Answer: []byte("done")}, s.decided[kept])

	other := s.submit(s.processes[2], "order-1", "another body")
	s.pass(time.Second)
	must.Eq(t, VerdictMismatch, s.decided[other].Verdict)
	must.Eq(t, 1, s.runs("order-1"))
}

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func requestNumber(number int) Fingerprint {
	request := Request{Method: "GET", Host: "shop.example", Target: fmt.Sprint("/", number)}
	return request.Fingerprint()
}

func newMachine(self string) *Machine {
	return New(Config{Self: self, Random: rand.NewPCG(1, 1)}, startTime)
}

func crashUnder(instance string, requests ...Fingerprint) WorkerCrashed {
	return WorkerCrashed{Instance: instance, Requests: requests}
}

// A request must be held after the crash of three different workers under it, not earlier; a
// repeated crash record of the same worker counts once.
func TestHeldAfterThreeWorkers(t *testing.T) {
	m := newMachine("a")
	poison, beside := requestNumber(1), requestNumber(2)
	m.Step(crashUnder("i-1", poison, beside), startTime)
	m.Step(crashUnder("i-1", poison), startTime)
	m.Step(crashUnder("i-2", poison), startTime)
	must.Eq(t, Verdict{State: Suspected, Workers: []string{"i-1", "i-2"}}, m.Verdict(poison, startTime))
	effects := m.Step(crashUnder("i-3", poison), startTime)
	held := Verdict{State: Held, Workers: []string{"i-1", "i-2", "i-3"}, Until: startTime.Add(trialDelays[0])}
	must.Eq(t, held, m.Verdict(poison, startTime))
	must.SliceContains(t, effects, Effect(Log{Event: EventHeld, Fingerprint: poison, Verdict: held}))
	must.Eq(t, Suspected, m.Verdict(beside, startTime).State)
	must.Eq(t, Free, m.Verdict(requestNumber(3), startTime).State)
}

// A response must clear a request: a frequent request that workers happened to run when they
// crashed is not held, however many of them crash.
func TestResponseClearsSuspicion(t *testing.T) {
	m := newMachine("a")
	popular := requestNumber(1)
	for index := range 10 {
		m.Step(crashUnder(fmt.Sprint("i-", index), popular), startTime)
		m.Step(Answered{Fingerprint: popular, Instance: "i-other"}, startTime)
		must.Eq(t, Free, m.Verdict(popular, startTime).State)
	}
}

// A held request must get three trials, each on one worker and after a longer delay, and must
// be released when a trial gets a response or by an operator.
func TestTrialsFollowSchedule(t *testing.T) {
	for name, answeredAt := range map[string]int{"first answered": 0, "third answered": 2, "none answered": -1} {
		t.Run(name, func(t *testing.T) {
			m := newMachine("a")
			poison, now := requestNumber(1), startTime
			for index := range crashesToHold {
				m.Step(crashUnder(fmt.Sprint("i-", index), poison), now)
			}
			for trial, wait := range trialDelays {
				must.Eq(t, Held, m.Verdict(poison, now.Add(wait-1)).State)
				now = now.Add(wait)
				must.Eq(t, OnTrial, m.Verdict(poison, now).State)
				m.Step(TrialStarted{Fingerprint: poison, Instance: "owner"}, now)
				must.Eq(t, Held, m.Verdict(poison, now).State, must.Sprint("must stay held while the trial runs"))
				if trial == answeredAt {
					m.Step(Answered{Fingerprint: poison, Instance: fmt.Sprint("t-", trial)}, now)
					must.Eq(t, Free, m.Verdict(poison, now).State)
					return
				}
				m.Step(crashUnder(fmt.Sprint("t-", trial), poison), now)
			}
			must.Eq(t, Held, m.Verdict(poison, now.Add(retention-1)).State)
			m.Step(ReleaseOrdered{Fingerprint: poison, By: "operator"}, now)
			must.Eq(t, Free, m.Verdict(poison, now).State)
		})
	}
}

// Expired records must be removed and must not return from a node that removes them later.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	m := newMachine("a")
	m.Step(crashUnder("i-1", requestNumber(1)), startTime)
	late := startTime.Add(retention + 1)
	m.Step(Tick{}, late)
	must.MapEmpty(t, m.ledger.histories)
	must.Eq(t, 0, m.ledger.sum)
	m.Step(MessageReceived{Message{From: "b", Records: []Record{{Fingerprint: requestNumber(1), Kind: Crashed, Source: "i-1", At: startTime}}}}, late)
	must.MapEmpty(t, m.ledger.histories)
}

// Memory must stay bounded when a caller sends ever new requests that crash workers. Held
// requests are evicted last.
func TestMemoryIsBounded(t *testing.T) {
	m := newMachine("a")
	poison := requestNumber(0)
	for index := range crashesToHold {
		m.Step(crashUnder(fmt.Sprint("i-", index), poison), startTime)
	}
	for index := range 2 * maxRequests {
		m.Step(crashUnder("i-9", requestNumber(index+1)), startTime.Add(time.Second))
	}
	must.LessEq(t, maxRequests, len(m.ledger.histories))
	must.Eq(t, Held, m.Verdict(poison, startTime).State)
	must.LessEq(t, maxUnsent, len(m.unsent))
}

// After the process was suspended, other nodes must be queried at once.
func TestPauseTriggersQuery(t *testing.T) {
	m := newMachine("a")
	m.Step(Peers{Addresses: []string{"a", "b"}}, startTime)
	m.Step(MessageReceived{Message{From: "b", IsReply: true}}, startTime)
	must.SliceEmpty(t, m.Step(Tick{}, startTime.Add(pauseThreshold/2)))
	resumed := startTime.Add(pauseThreshold/2 + 5*time.Second)
	effects := m.Step(Tick{}, resumed)
	must.Eq(t, []Effect{
		Log{Event: EventPaused, Gap: 5 * time.Second},
		Send{To: []string{"b"}, Message: Message{From: "a", RequestRecords: true}},
	}, effects)
}

// drawRecords draws possible records of two requests.
func drawRecords(t *rapid.T) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Fingerprint: requestNumber(rapid.IntRange(0, 1).Draw(t, "request")),
			Kind:        rapid.SampledFrom([]Kind{Crashed, Tried, Released}).Draw(t, "kind"),
			Generation:  uint32(rapid.IntRange(0, 2).Draw(t, "generation")),
			Source:      fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "source")),
			At:          startTime,
		}
	}), 0, 12).Draw(t, "records")
}

// Nodes that receive the same records in any order and any number of times must have the same
// state.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		one, other := newLedger(), newLedger()
		for _, record := range records {
			one.merge(record, startTime)
		}
		shuffled := slices.Concat(records, records)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Shuffle(len(shuffled), func(a, b int) {
			shuffled[a], shuffled[b] = shuffled[b], shuffled[a]
		})
		for _, record := range shuffled {
			other.merge(record, startTime)
		}
		must.Eq(t, one.sum, other.sum)
		for fingerprint, history := range one.histories {
			must.Eq(t, history.verdict(startTime), other.histories[fingerprint].verdict(startTime))
		}
	})
}

// The records that a node sends in a reply must give another node the same state.
func TestRecordsRebuildLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newLedger(), newLedger()
		for _, record := range drawRecords(t) {
			one.merge(record, startTime)
		}
		for _, record := range one.mostImportant(maxReplyDatagrams*maxRecordsPerMessage, startTime) {
			other.merge(record, startTime)
		}
		must.Eq(t, one.sum, other.sum)
	})
}

// All nodes with the same instances must choose the same trial owner, and removing another
// instance must not change it.
func TestTrialOwnerIsStable(t *testing.T) {
	instances := []string{"i-1", "i-2", "i-3", "i-4"}
	owners := map[string]int{}
	for number := range 100 {
		owner := Owner(requestNumber(number), instances)
		owners[owner]++
		shuffled := []string{"i-3", "i-1", "i-4", "i-2"}
		must.Eq(t, owner, Owner(requestNumber(number), shuffled))
		without := slices.DeleteFunc(slices.Clone(instances), func(each string) bool { return each != owner && each == "i-1" })
		must.Eq(t, owner, Owner(requestNumber(number), without))
	}
	must.MapLen(t, len(instances), owners)
	must.Eq(t, "", Owner(requestNumber(0), nil))
}

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

var began = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func requestNumber(number int) Fingerprint {
	asked := Request{Method: "GET", Host: "shop.example", Target: fmt.Sprint("/", number)}
	return asked.Fingerprint()
}

func newMachine(self string) *Machine {
	return New(Config{Self: self, Random: rand.NewPCG(1, 1)}, began)
}

func crashOf(instance string, requests ...Fingerprint) WorkerCrashed {
	return WorkerCrashed{Instance: instance, Requests: requests}
}

// Three workers have to end under a request before it is held, and the same one counts once.
func TestHeldAfterThreeWorkers(t *testing.T) {
	m := newMachine("a")
	poison, beside := requestNumber(1), requestNumber(2)
	m.Step(crashOf("i-1", poison, beside), began)
	m.Step(crashOf("i-1", poison), began)
	m.Step(crashOf("i-2", poison), began)
	must.Eq(t, Verdict{State: Suspected, Workers: []string{"i-1", "i-2"}}, m.Verdict(poison, began))
	effects := m.Step(crashOf("i-3", poison), began)
	held := Verdict{State: Held, Workers: []string{"i-1", "i-2", "i-3"}, Until: began.Add(trialAfter[0])}
	must.Eq(t, held, m.Verdict(poison, began))
	must.SliceContains(t, effects, Effect(Log{Event: EventHeld, Fingerprint: poison, Verdict: held}))
	must.Eq(t, Suspected, m.Verdict(beside, began).State)
	must.Eq(t, Free, m.Verdict(requestNumber(3), began).State)
}

// An answer clears a request: a popular one that workers happened to run when they ended
// is not held, however many end.
func TestAnswerClears(t *testing.T) {
	m := newMachine("a")
	popular := requestNumber(1)
	for index := range 10 {
		m.Step(crashOf(fmt.Sprint("i-", index), popular), began)
		m.Step(Answered{Fingerprint: popular, Instance: "i-other"}, began)
		must.Eq(t, Free, m.Verdict(popular, began).State)
	}
}

// A held request gets three trials, each at one worker and later than the one before,
// and is let go by an operator after that, or when a trial is answered.
func TestTrials(t *testing.T) {
	for name, answeredAt := range map[string]int{"first answered": 0, "third answered": 2, "none answered": -1} {
		t.Run(name, func(t *testing.T) {
			m := newMachine("a")
			poison, now := requestNumber(1), began
			for index := range crashesToHold {
				m.Step(crashOf(fmt.Sprint("i-", index), poison), now)
			}
			for trial, wait := range trialAfter {
				must.Eq(t, Held, m.Verdict(poison, now.Add(wait-1)).State)
				now = now.Add(wait)
				must.Eq(t, OnTrial, m.Verdict(poison, now).State)
				m.Step(TrialBegins{Fingerprint: poison, Instance: "owner"}, now)
				must.Eq(t, Held, m.Verdict(poison, now).State, must.Sprint("while the trial runs"))
				if trial == answeredAt {
					m.Step(Answered{Fingerprint: poison, Instance: fmt.Sprint("t-", trial)}, now)
					must.Eq(t, Free, m.Verdict(poison, now).State)
					return
				}
				m.Step(crashOf(fmt.Sprint("t-", trial), poison), now)
			}
			must.Eq(t, Held, m.Verdict(poison, now.Add(memory-1)).State)
			m.Step(LetGo{Fingerprint: poison, By: "operator"}, now)
			must.Eq(t, Free, m.Verdict(poison, now).State)
		})
	}
}

// What is old is forgotten, and does not come back from a node that forgets it later.
func TestOldRecordsAreForgotten(t *testing.T) {
	m := newMachine("a")
	m.Step(crashOf("i-1", requestNumber(1)), began)
	late := began.Add(memory + 1)
	m.Step(Tick{}, late)
	must.MapEmpty(t, m.ledger.cases)
	must.Eq(t, 0, m.ledger.sum)
	m.Step(Heard{Message{From: "b", Records: []Record{{Fingerprint: requestNumber(1), Kind: Crashed, Source: "i-1", At: began}}}}, late)
	must.MapEmpty(t, m.ledger.cases)
}

// A caller with ever new requests of this kind costs a bounded memory, and what is held
// stays while anything else can be forgotten.
func TestMemoryIsBounded(t *testing.T) {
	m := newMachine("a")
	poison := requestNumber(0)
	for index := range crashesToHold {
		m.Step(crashOf(fmt.Sprint("i-", index), poison), began)
	}
	for index := range 2 * mostCases {
		m.Step(crashOf("i-9", requestNumber(index+1)), began.Add(time.Second))
	}
	must.LessEq(t, mostCases, len(m.ledger.cases))
	must.Eq(t, Held, m.Verdict(poison, began).State)
	must.LessEq(t, mostWaiting, len(m.waiting))
}

// After a pause other nodes are asked at once.
func TestPauseAsksOthers(t *testing.T) {
	m := newMachine("a")
	m.Step(Peers{Addresses: []string{"a", "b"}}, began)
	m.Step(Heard{Message{From: "b", Answer: true}}, began)
	must.SliceEmpty(t, m.Step(Tick{}, began.Add(pauseAfter/2)))
	woken := began.Add(pauseAfter/2 + 5*time.Second)
	effects := m.Step(Tick{}, woken)
	must.Eq(t, []Effect{
		Log{Event: EventPaused, Gap: 5 * time.Second},
		Send{To: []string{"b"}, Message: Message{From: "a", Ask: true}},
	}, effects)
}

// drawRecords draws what may be observed of two requests.
func drawRecords(t *rapid.T) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Fingerprint: requestNumber(rapid.IntRange(0, 1).Draw(t, "request")),
			Kind:        rapid.SampledFrom([]Kind{Crashed, Tried, Released}).Draw(t, "kind"),
			Generation:  uint32(rapid.IntRange(0, 2).Draw(t, "generation")),
			Source:      fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "source")),
			At:          began,
		}
	}), 0, 12).Draw(t, "records")
}

// Nodes that heard the same records know the same, in whatever order and however often.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		one, other := newLedger(), newLedger()
		for _, record := range records {
			one.join(record, began)
		}
		shuffled := slices.Concat(records, records)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Shuffle(len(shuffled), func(a, b int) {
			shuffled[a], shuffled[b] = shuffled[b], shuffled[a]
		})
		for _, record := range shuffled {
			other.join(record, began)
		}
		must.Eq(t, one.sum, other.sum)
		for fingerprint, history := range one.cases {
			must.Eq(t, history.verdict(began), other.cases[fingerprint].verdict(began))
		}
	})
}

// What a node tells when asked leads another one to the same knowledge.
func TestRecordsRebuildALedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newLedger(), newLedger()
		for _, record := range drawRecords(t) {
			one.join(record, began)
		}
		for _, record := range one.mostImportant(mostPages*mostTold, began) {
			other.join(record, began)
		}
		must.Eq(t, one.sum, other.sum)
	})
}

// All nodes that know of the same instances name the same owner, and the loss of another
// instance does not move it.
func TestOwner(t *testing.T) {
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

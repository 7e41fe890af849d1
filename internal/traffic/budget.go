package traffic

import (
	"math"
	"sync"
	"time"
)

// serviceBudget bounds, for each service, the arrivals at workers beyond the first of each
// request to a share of the requests, with a small allowance that the nodes of the mesh
// divide among them. Each node earns a part of a repeat with each request and saves up no
// more than its part of the allowance, so the sum over all nodes stays under the bound
// without a word between them, also where many start at once.
type serviceBudget struct {
	mutex    sync.Mutex
	ratio    float64 // repeats earned by a request
	slack    float64 // repeats of the whole mesh
	services map[string]*savedRepeats
}

// savedRepeats are the repeats of one service that a node may still make.
type savedRepeats struct {
	saved   float64
	at      time.Time // when saved was brought up to date
	pressed time.Time // when a last chance wanted one last
}

// The parts of the bounds that are used. What is left of the ratio covers what a node can't
// count: a second node that is tried beside a silent one, and calls of repeated runs beyond
// the average that is charged for them. With 0.9 the model of a service whose calling runs
// mostly fail was over the bound by 16 arrivals in a window, with 0.88 and 0.85 under it.
const (
	budgetRoom = 0.88 // of the ratio
	savedPart  = 0.8  // of the allowance: what all nodes together may have saved up
	firstPart  = 0.2  // of the allowance: what all nodes together have when they start
)

// savedFor is over which time repeats that a node saved beyond its part of the allowance
// fade to a third. In a mesh of more nodes than the allowance has repeats, each part is
// less than one, and a node must save up one to make any.
const savedFor = 10 * time.Second

// leastSaved is what any node may save up: one repeat, and what it earns until that one is
// wanted. With one alone, 850 nodes made 0.6 of the repeats that 3,000 requests a second allow.
const leastSaved = 2

func newServiceBudget(limits Limits) *serviceBudget {
	return &serviceBudget{ratio: limits.RetryRatio * budgetRoom, slack: float64(limits.RetrySlack), services: map[string]*savedRepeats{}}
}

// count notes a request for a service.
func (b *serviceBudget) count(service string, nodes int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.of(service, nodes, now)
	held.saved = min(held.saved+b.ratio, b.most(nodes))
}

// take reports whether one more arrival is allowed and counts it. While repeats are short
// they are kept for last chances: requests that nobody sends again if they are refused.
// The caller of another comes back by itself, which costs no repeat.
func (b *serviceBudget) take(service string, nodes int, lastChance bool, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.of(service, nodes, now)
	if lastChance {
		held.pressed = now
	}
	if held.saved < 1 || !lastChance && now.Sub(held.pressed) < pressedFor && held.saved < b.most(nodes)*plenty {
		return false
	}
	held.saved--
	return true
}

// Repeats are taken to be short for pressedFor after a last chance wanted one, unless a node
// has saved up a plenty part of what it may.
const (
	pressedFor = time.Second
	plenty     = 0.9
)

// charge takes off arrivals that this node does not decide on, also where none are left:
// then it makes no repeats until it has earned them.
func (b *serviceBudget) charge(service string, nodes int, arrivals float64, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service, nodes, now).saved -= arrivals * (1 + b.ratio) // they are counted as requests when they come
}

// giveBack undoes a take whose request reached no worker.
func (b *serviceBudget) giveBack(service string, nodes int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.of(service, nodes, now)
	held.saved = min(held.saved+1, b.most(nodes))
}

// most is what a node may have saved up.
func (b *serviceBudget) most(nodes int) float64 { return max(leastSaved, b.part(nodes)) }

// part is a node's part of what all may have saved up.
func (b *serviceBudget) part(nodes int) float64 { return b.slack * savedPart / float64(max(1, nodes)) }

// of returns what is saved of a service, faded to now. The mutex is held.
func (b *serviceBudget) of(service string, nodes int, now time.Time) *savedRepeats {
	held := b.services[service]
	if held == nil {
		held = &savedRepeats{saved: b.slack * firstPart / float64(max(1, nodes)), at: now}
		b.services[service] = held
	}
	beyond := max(0, held.saved-b.part(nodes))
	held.saved -= beyond * (1 - math.Exp(-float64(now.Sub(held.at))/float64(savedFor)))
	held.at = now
	return held
}

package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// gossipedCounters models the alternative to stripes in its best case: each node announces to
// all others how many requests it admitted, and all receive this after one delay, without loss.
// A node admits what an ideal bucket has tokens for, by the counts it has received.
type gossipedCounters struct {
	rate, burst float64
	delay       time.Duration
	level       float64 // tokens, by the counts that all nodes have received
	at          time.Time
	inFlight    []countedRequest // admitted requests that not all nodes have received, the oldest first
}

type countedRequest struct {
	at   time.Time
	node int
}

func (c *gossipedCounters) take(node int, now time.Time) bool {
	for len(c.inFlight) > 0 && now.Sub(c.inFlight[0].at) >= c.delay {
		c.level--
		c.inFlight = c.inFlight[1:]
	}
	c.level = math.Min(c.burst, c.level+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	headroom := c.level
	for _, each := range c.inFlight {
		if each.node == node {
			headroom--
		}
	}
	if headroom < 1 {
		return false
	}
	c.inFlight = append(c.inFlight, countedRequest{at: now, node: node})
	return true
}

// Guards the choice of stripes over gossiped counters: with counters, each half of a
// partitioned mesh admits the whole limit and the bound is exceeded. Stripes stay within it
// (TestPartitionedHalvesStayWithinBound).
func TestGossipedCountersExceedBoundWhenPartitioned(t *testing.T) {
	const nodes, rate, flood, seconds = 73, 251.0, 4.7, 12
	settings := exampleSettings
	bound := (rate*settings.Window.Seconds()+rate)*(1+settings.Overage) + settings.Slack
	for _, delay := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		for _, halves := range []int{1, 2} {
			random := rand.New(rand.NewPCG(1, 7))
			sides := make([]gossipedCounters, halves)
			for index := range sides {
				sides[index] = gossipedCounters{rate: rate, burst: rate, delay: delay, level: rate, at: startTime}
			}
			counted := &fleet{settings: settings, tenants: []*fleetTenant{{}}}
			tenant := counted.tenants[0]
			tenant.RatePerSecond, tenant.Burst = rate, rate
			for now := startTime; now.Sub(startTime) < seconds*time.Second; {
				now = now.Add(time.Duration(random.ExpFloat64() / rate / flood * float64(time.Second)))
				node := random.IntN(nodes)
				if sides[node%halves].take(node, now) {
					tenant.admitted = append(tenant.admitted, now)
				}
			}
			used, _ := counted.worstBoundUse()
			t.Logf("counter delay %s, partitions: %d, used %.2f of the bound of %.0f", delay, halves, used, bound)
			if halves == 2 {
				must.Greater(t, 1, used)
			}
		}
	}
}

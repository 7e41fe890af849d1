package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countingMesh is the way that was weighed against stripes, in its best case: each node
// tells all others how many requests it let pass, and they all know it after one delay,
// without loss. A node lets pass what an ideal bucket has room for, by what it knows.
type countingMesh struct {
	rate, burst float64
	delay       time.Duration
	level       float64 // of the bucket, by what all know
	at          time.Time
	news        []countedRequest // that not all know of yet, oldest first
}

type countedRequest struct {
	at   time.Time
	node int
}

func (c *countingMesh) take(node int, now time.Time) bool {
	for len(c.news) > 0 && now.Sub(c.news[0].at) >= c.delay {
		c.level--
		c.news = c.news[1:]
	}
	c.level = math.Min(c.burst, c.level+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	room := c.level
	for _, each := range c.news {
		if each.node == node {
			room--
		}
	}
	if room < 1 {
		return false
	}
	c.news = append(c.news, countedRequest{at: now, node: node})
	return true
}

// Counters that all nodes tell each other break the bound as soon as two halves can't talk:
// each lets the whole limit pass. Stripes don't (TestHalvesThatCannotTalk).
func TestCountersLetEachHalfSpendTheWhole(t *testing.T) {
	const nodes, rate, flood, seconds = 73, 251.0, 4.7, 12
	settings := exampleSettings
	bound := (rate*settings.Window.Seconds()+rate)*(1+settings.Overage) + settings.Slack
	for _, delay := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		for _, halves := range []int{1, 2} {
			random := rand.New(rand.NewPCG(1, 7))
			sides := make([]countingMesh, halves)
			for index := range sides {
				sides[index] = countingMesh{rate: rate, burst: rate, delay: delay, level: rate, at: began}
			}
			counted := &fleet{settings: settings, tenants: []*fleetTenant{{}}}
			tenant := counted.tenants[0]
			tenant.RatePerSecond, tenant.Burst = rate, rate
			for now := began; now.Sub(began) < seconds*time.Second; {
				now = now.Add(time.Duration(random.ExpFloat64() / rate / flood * float64(time.Second)))
				node := random.IntN(nodes)
				if sides[node%halves].take(node, now) {
					tenant.admitted = append(tenant.admitted, now)
				}
			}
			part, _ := counted.worst()
			t.Logf("counters %s old, %d halves: %.2f of the bound of %.0f", delay, halves, part, bound)
			if halves == 2 {
				must.Greater(t, 1, part)
			}
		}
	}
}

package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// startKeepers runs keepers that deliver messages to each other. Their Since is
// one second from now.
func startKeepers(ctx context.Context, count int) []*Keeper {
	keepers := make(map[string]*Keeper)
	var list []*Keeper
	workers, nodes := workersOf(count, 1, 3), make(map[string]string)
	for _, worker := range workers {
		node := "node-" + worker.Name
		nodes[worker.Name] = node
		config := KeeperConfig{Config: testConfig()}
		config.Node, config.Worker = node, worker.Name
		config.Since = time.Now().Add(time.Second)
		config.Send = func(outgoing wire.Outgoing) {
			go keepers[outgoing.To].Deliver(outgoing.Message)
		}
		keepers[node] = NewKeeper(config)
		list = append(list, keepers[node])
	}
	for _, keeper := range list {
		go keeper.Run(ctx)
		keeper.Configure(Configure{
			Version: version.Version{Revision: 1}, Workers: map[string][]Worker{simService: workers}, Nodes: nodes,
		})
	}
	return list
}

func TestConcurrentClaimsOfOneKeyRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		keepers := startKeepers(ctx, 5)
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		var lock sync.Mutex
		verdicts := make(map[Verdict]int)
		for _, keeper := range keepers {
			group.Go(func() {
				decision := keeper.Claim(ctx, simService, "order", "body")
				lock.Lock()
				defer lock.Unlock()
				verdicts[decision.Verdict]++
				if decision.Verdict == VerdictRun {
					keeper.Finish(simService, "order", decision.Holder, []byte("done"))
				}
			})
		}
		group.Wait()
		must.Eq(t, 1, verdicts[VerdictRun])
		time.Sleep(time.Second)
		stored := keepers[1].Claim(ctx, simService, "order", "body")
		must.Eq(t, Decision{Verdict: VerdictAnswered, Response: []byte("done")}, stored)
		cancel()
		synctest.Wait()
	})
}

func TestClaimWithEndedContextReturnsNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		keepers := startKeepers(ctx, 5)
		// No replica votes before Since, so the claim waits until its context ends.
		short, stop := context.WithTimeout(ctx, 500*time.Millisecond)
		defer stop()
		must.Eq(t, VerdictNoQuorum, keepers[0].Claim(short, simService, "order", "body").Verdict)
		time.Sleep(2 * time.Second)
		must.Eq(t, VerdictRun, keepers[1].Claim(ctx, simService, "order", "body").Verdict)
		cancel()
		synctest.Wait()
		must.Eq(t, VerdictNoQuorum, keepers[0].Claim(t.Context(), simService, "late", "body").Verdict)
	})
}

// BenchmarkClaim measures the total work of one claim and its finish at all
// five replicas, without encoding and network.
func BenchmarkClaim(b *testing.B) {
	s := newRecoveredSim(workersOf(7, 1, 4))
	for _, p := range s.processes {
		p.machine.config.MaxKeys = 1 << 30
	}
	bytes := claimBytes(s)
	s.messages = 0
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		key := fmt.Sprintf("order-%d", number)
		holder := s.submit(s.processes[number%len(s.processes)], key, "body")
		s.deliverAll()
		s.step(s.processes[number%len(s.processes)], Finish{Service: simService, Key: key, Holder: holder})
		s.deliverAll()
	}
	b.ReportMetric(float64(bytes), "wire-bytes/op")
	b.ReportMetric(float64(s.messages)/float64(number), "messages/op")
}

// claimBytes returns the size of all messages of one claim and its finish,
// encoded as JSON lines.
func claimBytes(s *sim) int {
	total := 0
	flush := func() {
		for len(s.network) > 0 {
			line, _ := json.Marshal(s.network[0].message)
			total += len(line) + 1
			s.deliver(0, false)
		}
	}
	holder := s.submit(s.processes[0], "order-of-a-usual-length", "0123456789abcdef")
	flush()
	s.step(s.processes[0], Finish{Service: simService, Key: "order-of-a-usual-length", Holder: holder})
	flush()
	return total
}

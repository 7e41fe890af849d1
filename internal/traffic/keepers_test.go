package traffic

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/claim"
	"sliphead/internal/httpserver"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// keeperFleet is a simulated fleet in virtual time: edges, and workers with their nodes, whose
// claim keepers exchange messages over an in-memory network. Nodes are killed, restarted and
// partitioned while orders run.
type keeperFleet struct {
	t       *testing.T
	pipes   pipes
	holder  *snapshot.Holder
	since   time.Time
	client  *http.Client
	edges   []*Outbound
	workers []claim.Worker

	mutex    sync.Mutex
	nodes    map[string]*keeperNode // running nodes by worker
	started  int
	cut      map[string]bool // workers on the minority side of a partition
	byKey    map[string]int  // runs by idempotency key
	byID     map[string]int  // runs by request id
	outcomes map[string]int  // number of submissions by outcome
}

// keeperNode is one node process of a worker.
type keeperNode struct {
	name   string
	worker string
	in     *Inbound
	keeper *claim.Keeper
	server *httpserver.Server
	end    context.CancelFunc
}

const fleetWorkers, fleetEdges = 5, 3

func newKeeperFleet(t *testing.T) *keeperFleet {
	f := &keeperFleet{
		t: t, pipes: pipes{}, holder: &snapshot.Holder{}, since: time.Now().Add(time.Second),
		nodes: map[string]*keeperNode{}, cut: map[string]bool{}, byKey: map[string]int{}, byID: map[string]int{}, outcomes: map[string]int{},
	}
	transport := &http.Transport{DialContext: f.pipes.dial}
	f.client = &http.Client{Transport: transport}
	var endpoints []snapshot.Endpoint
	for index := range fleetWorkers {
		worker := claim.Worker{Name: fmt.Sprintf("w%d", index), Zone: fmt.Sprintf("z%d", index%3)}
		f.workers = append(f.workers, worker)
		f.pipes.serve(t, "worker-"+worker.Name, &http.Server{Handler: http.HandlerFunc(f.work)})
		f.pipes["in-"+worker.Name] = make(chan net.Conn)
		endpoints = append(endpoints, snapshot.Endpoint{Worker: worker.Name, Zone: worker.Zone, Address: "in-" + worker.Name, Slots: 6, Connections: 130})
	}
	view := viewOf(endpoints)
	view.Route("order").DeadlineMS = 4000
	f.holder.Store(view)
	f.holder.Renew(time.Now().Add(time.Hour))
	for index := range fleetEdges {
		edge := NewOutbound(Config{Zone: fmt.Sprintf("z%d", index), Holder: f.holder, Edge: true, Dial: f.pipes.dial, Logger: discardLogger(), Random: rand.NewPCG(uint64(index), 1)})
		f.edges = append(f.edges, edge)
		f.pipes.serve(t, fmt.Sprintf("edge-%d:80", index), NewServer(edge, Limits{}))
	}
	for _, worker := range f.workers {
		f.start(worker.Name)
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		for _, edge := range f.edges {
			edge.pool.close()
		}
		for _, worker := range f.workers {
			f.kill(worker.Name)
		}
	})
	return f
}

// start starts a new node process for a worker, without any state.
func (f *keeperFleet) start(worker string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.started++
	node := &keeperNode{worker: worker, name: fmt.Sprintf("%s#%d", worker, f.started)}
	node.keeper = claim.NewKeeper(claim.KeeperConfig{
		Config: claim.Config{
			Node: node.name, Worker: worker, KeyLife: 10 * time.Minute, MaxClaim: 2 * time.Second, RetryInterval: 200 * time.Millisecond,
			Since: f.since, ClockSkew: 100 * time.Millisecond, Random: rand.New(rand.NewPCG(uint64(f.started), 2)),
		},
		Send: func(outgoing wire.Outgoing) { f.deliver(worker, outgoing) },
	})
	node.in = NewInbound(Config{
		Node: node.name, Holder: f.holder, Claims: node.keeper, Worker: worker, WorkerAddress: "worker-" + worker,
		Dial: f.pipes.dial, Logger: discardLogger(), Random: rand.NewPCG(uint64(f.started), 3),
	})
	node.server = NewServer(node.in, Limits{})
	running, end := context.WithCancel(context.Background())
	node.end = end
	go node.keeper.Run(running)
	listener := &pipeListener{conns: f.pipes["in-"+worker], closed: make(chan struct{})}
	go func() { _ = node.server.Serve(listener) }()
	f.nodes[worker] = node
	f.configure()
}

// kill stops the node process of a worker without waiting for its requests.
func (f *keeperFleet) kill(worker string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.nodes[worker]
	if node == nil {
		return
	}
	delete(f.nodes, worker)
	node.end()
	_ = node.server.Close()
	node.in.worker.pool.close()
}

// configure gives all keepers the list of running nodes.
func (f *keeperFleet) configure() {
	names := map[string]string{}
	for worker, node := range f.nodes {
		names[worker] = node.name
	}
	for _, node := range f.nodes {
		node.keeper.Configure(claim.Configure{Version: version.Version{Revision: 1}, Workers: map[string][]claim.Worker{"shop": f.workers}, Nodes: names})
	}
}

// deliver delivers a message unless sender and receiver are partitioned.
func (f *keeperFleet) deliver(from string, outgoing wire.Outgoing) {
	go func() {
		f.mutex.Lock()
		var to *claim.Keeper
		for worker, node := range f.nodes {
			if node.name == outgoing.To && f.cut[from] == f.cut[worker] {
				to = node.keeper
			}
		}
		f.mutex.Unlock()
		if to != nil {
			to.Deliver(outgoing.Message)
		}
	}()
}

// setCut partitions the nodes of these workers from the others; without workers it heals the
// partition.
func (f *keeperFleet) setCut(workers ...claim.Worker) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.cut)
	for _, worker := range workers {
		f.cut[worker.Name] = true
	}
}

// work is the handler of the workers. It counts a run before it does anything else.
func (f *keeperFleet) work(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	behaviour, id := r.URL.Query().Get("do"), r.Header.Get(outcome.RequestID)
	if behaviour == "shed" && strings.HasSuffix(id, ".0") {
		w.Header().Set(outcome.Header, string(outcome.NotRun))
		w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get(outcome.IdempotencyKey)
	f.mutex.Lock()
	f.byKey[key]++
	f.byID[id]++
	f.mutex.Unlock()
	switch behaviour {
	case "slow":
		time.Sleep(700 * time.Millisecond)
	case "break":
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, ownBody(key))
}

// submit sends one submission of an order and checks its outcome against the runs.
func (f *keeperFleet) submit(key, id, behaviour string, edge int) {
	request, _ := http.NewRequest("POST", fmt.Sprintf("http://edge-%d:80/order?do=%s", edge, behaviour), strings.NewReader("cards"))
	request.Header.Set(outcome.IdempotencyKey, key)
	request.Header.Set(outcome.RequestID, id)
	response, err := f.client.Do(request)
	must.NoError(f.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	reported := outcome.Outcome(response.Header.Get(outcome.Header))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outcomes[string(reported)]++
	switch reported {
	case outcome.Answered:
		must.Eq(f.t, ownBody(key), string(text))
		must.Eq(f.t, 1, f.byKey[key])
	case outcome.NotRun:
		must.Zero(f.t, f.byID[id], must.Sprintf("%s ran but was reported as not-run", id))
	case outcome.Unknown:
	default:
		f.t.Errorf("%s has no outcome", id)
	}
}

// order submits one key several times through alternating edges, sometimes several at once.
func (f *keeperFleet) order(seed uint64, number int) {
	const submissions = 5
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	key := fmt.Sprintf("key-%d", number)
	behaviour := []string{"ok", "slow", "break", "shed"}[number%4]
	var running sync.WaitGroup
	time.Sleep(time.Duration(random.IntN(6_000)) * time.Millisecond)
	for index := range submissions {
		running.Go(func() { f.submit(key, fmt.Sprintf("%s.%d", key, index), behaviour, (number+index)%fleetEdges) })
		if random.IntN(3) > 0 {
			running.Wait()
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
	}
	running.Wait()
}

// injectFaults partitions, kills and restarts nodes until healed is closed.
func (f *keeperFleet) injectFaults(seed uint64, healed <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	down := ""
	for {
		select {
		case <-healed:
			return
		case <-time.After(time.Duration(200+random.IntN(500)) * time.Millisecond):
		}
		first := random.IntN(fleetWorkers)
		switch random.IntN(6) {
		case 0:
			f.setCut(f.workers[first])
		case 1:
			f.setCut(f.workers[first], f.workers[(first+1)%fleetWorkers])
		case 2:
			f.setCut()
		default:
			if down != "" {
				f.start(down)
			}
			down = f.workers[first].Name
			f.kill(down)
		}
	}
}

// An order under an idempotency key must run at most once, and a request reported as not-run must
// not have run, while the keepers of its key are partitioned, killed and restarted without state.
func TestOrdersRunAtMostOnceWhileKeepersFail(t *testing.T) {
	const orders, seeds = 60, 10
	ran := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newKeeperFleet(t)
				time.Sleep(2 * time.Second)
				healed := make(chan struct{})
				var faults, running sync.WaitGroup
				faults.Go(func() { f.injectFaults(seed, healed) })
				for number := range orders {
					running.Go(func() { f.order(seed, number) })
				}
				running.Wait()
				close(healed)
				faults.Wait()
				for key, runs := range f.byKey {
					must.LessEq(t, 1, runs, must.Sprintf("%s ran %d times", key, runs))
				}
				t.Logf("seed=%d ran=%d answered=%d not-run=%d unknown=%d", seed, len(f.byKey), f.outcomes["answered"], f.outcomes["not-run"], f.outcomes["unknown"])
				ran += len(f.byKey)
				for _, kind := range []string{"answered", "not-run", "unknown"} {
					must.Positive(t, f.outcomes[kind])
				}
			})
		})
	}
	must.Greater(t, orders*seeds/6, ran) // otherwise too few orders ran for the test to mean anything
}

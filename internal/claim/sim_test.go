package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// process is one process of a node beside a worker.
type process struct {
	worker  string
	node    string
	machine *Machine
	frozen  bool
	version uint64
}

// inFlight is a message in transit.
type inFlight struct {
	from, to string
	message  wire.Envelope
}

// run is one run of a request, as recorded in the journal.
type run struct {
	key, body, holder string
	at                time.Time
}

// attemptID identifies an attempt by its holder and the node that coordinates
// it.
type attemptID struct{ name, node string }

const simService = "orders"

// sim is a fleet of machines on an unreliable network, with a journal of the
// runs.
type sim struct {
	random    *rand.Rand
	now       time.Time
	config    Config
	configs   [][]Worker // by version, from 1
	processes []*process // running or frozen; for each worker the newest is last
	started   int
	submitted int
	network   []inFlight
	cut       map[string]bool // workers on one side of a network cut
	journal   []run
	decided   map[string]Decision
	notRun    map[string]bool // holders that were released, cancelled or refused
	claims    map[string]Claim
	holders   []attemptID // in order of start
	logs      map[LogName]int
	messages  int
}

func newSim(random *rand.Rand, config Config, workers []Worker) *sim {
	return &sim{
		random: random, config: config, configs: [][]Worker{workers}, now: time.Unix(1_800_000_000, 0),
		cut: make(map[string]bool), decided: make(map[string]Decision), notRun: make(map[string]bool),
		claims: make(map[string]Claim), logs: make(map[LogName]int),
	}
}

// workersOf returns count workers, numbered from first and spread over the
// zones.
func workersOf(count, first, zones int) []Worker {
	var workers []Worker
	for index := range count {
		number := first + index
		workers = append(workers, Worker{Name: fmt.Sprintf("w%02d", number), Zone: fmt.Sprintf("z%d", number%zones)})
	}
	return workers
}

// start starts a new process for a worker with the given version.
func (s *sim) start(worker string, revision uint64) *process {
	s.started++
	config := s.config
	config.Worker, config.Node = worker, fmt.Sprintf("%s#%d", worker, s.started)
	config.Random = rand.New(rand.NewPCG(uint64(s.started), 7))
	s.now = s.now.Add(time.Microsecond)
	p := &process{worker: worker, node: config.Node, machine: NewMachine(config, s.now)}
	s.processes = append(s.processes, p)
	p.version = revision
	for _, other := range s.processes {
		if !other.frozen {
			s.configure(other, other.version)
		}
	}
	return p
}

// startAll starts a process for each worker of the first version.
func (s *sim) startAll() {
	for _, worker := range s.configs[0] {
		s.start(worker.Name, 1)
	}
}

// configure gives a process a version and the newest node of each worker.
func (s *sim) configure(p *process, number uint64) {
	p.version = number
	nodes := make(map[string]string)
	for _, other := range s.processes {
		nodes[other.worker] = other.node
	}
	s.step(p, Configure{
		Version: version.Version{Revision: number},
		Workers: map[string][]Worker{simService: s.configs[number-1]},
		Nodes:   nodes,
	})
}

// kill removes a process. Its messages stay in transit.
func (s *sim) kill(p *process) {
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == p })
}

func (s *sim) find(node string) *process {
	for _, p := range s.processes {
		if p.node == node {
			return p
		}
	}
	return nil
}

// latest returns the newest process of a worker.
func (s *sim) latest(worker string) *process {
	for index := len(s.processes) - 1; index >= 0; index-- {
		if s.processes[index].worker == worker {
			return s.processes[index]
		}
	}
	return nil
}

// submit sends a request to a process and returns the attempt's holder.
func (s *sim) submit(p *process, key, body string) string {
	s.submitted++
	holder := fmt.Sprintf("%s/%d", p.node, s.submitted)
	claim := Claim{Service: simService, Key: key, BodyDigest: body, Holder: holder, Deadline: s.now.Add(s.config.MaxClaim)}
	s.claims[holder] = claim
	s.holders = append(s.holders, attemptID{holder, p.node})
	s.step(p, claim)
	return holder
}

// step passes an event to a process and carries out the effects.
func (s *sim) step(p *process, event Event) {
	for _, effect := range p.machine.Step(event, s.now) {
		switch effect := effect.(type) {
		case Send:
			s.messages++
			s.network = append(s.network, inFlight{p.node, effect.Outgoing.To, effect.Outgoing.Message})
		case Decided:
			s.decide(p, effect)
		case Log:
			s.logs[effect.Name]++
		}
	}
}

// decide records a decision, and on VerdictRun runs the request.
func (s *sim) decide(p *process, effect Decided) {
	if _, twice := s.decided[effect.Holder]; twice {
		panic("decided twice: " + effect.Holder)
	}
	s.decided[effect.Holder] = effect.Decision
	if effect.Decision.Verdict != VerdictRun {
		s.notRun[effect.Holder] = true
		return
	}
	claim := s.claims[effect.Holder]
	entry := run{claim.Key, claim.BodyDigest, effect.Holder, s.now}
	s.journal = append(s.journal, entry)
}

// deliver delivers the message at an index, unless a cut separates the nodes or
// the receiver has been killed or is frozen. With keep the message stays in
// transit.
func (s *sim) deliver(index int, keep bool) {
	message := s.network[index]
	if !keep {
		s.network[index] = s.network[len(s.network)-1]
		s.network = s.network[:len(s.network)-1]
	}
	p := s.find(message.to)
	if p == nil || p.frozen || s.cut[workerOf(message.from)] != s.cut[p.worker] {
		return
	}
	s.step(p, Received{Message: message.message})
}

func workerOf(node string) string {
	worker, _, _ := strings.Cut(node, "#")
	return worker
}

// advance lets time pass in steps of 20 ms, each with a tick, and delivers all
// messages after each.
func (s *sim) advance(total time.Duration) {
	const step = 20 * time.Millisecond
	for end := s.now.Add(total); s.now.Before(end); {
		s.tick(step)
		s.deliverAll()
	}
}

// deliverAll delivers messages until none is in transit.
func (s *sim) deliverAll() {
	for len(s.network) > 0 {
		s.deliver(0, false)
	}
}

func (s *sim) tick(step time.Duration) {
	s.now = s.now.Add(step)
	for _, p := range slices.Clone(s.processes) {
		if !p.frozen {
			s.step(p, Tick{})
		}
	}
}

// runs returns how many times a key ran.
func (s *sim) runs(key string) int {
	total := 0
	for _, entry := range s.journal {
		if entry.key == key {
			total++
		}
	}
	return total
}

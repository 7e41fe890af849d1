package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Pace and bounds of what a node tells others.
const (
	// fanOut is to how many nodes a new record is passed on, by each node that hears of it.
	// With six, one node of 400 does not hear it so (e^-6) where no message is lost.
	fanOut = 6

	// A node sends tellBurst messages with new records at once, and then one each tellEvery,
	// so that workers which end without pause cost the links a bounded part. Three nodes that
	// see one end each pass on three within milliseconds. mostTold bounds the records of a
	// message to what a datagram of 1,200 bytes carries. One end costs a node 3 to 7 kB.
	tellBurst = 8
	tellEvery = 200 * time.Millisecond
	mostTold  = 14

	// mostWaiting bounds the records that wait to be told. What finds no room is asked for.
	mostWaiting = 512

	// askEvery is how often one other node is asked whether it knows more, by a node that
	// knows of any request: some 150 bytes a second both ways. Whoever is asked asks back, so
	// that a node that missed all it was told is found by those that know. A node that was
	// cut off asks, or is asked, within the three seconds after which it counts as in contact.
	askEvery = 2 * time.Second

	// askSoon is the same for newsFor after something new: nodes that the fan-out missed
	// hear of it after 0.6 s at worst in place of 2.3 s (850 nodes, one message of twenty
	// lost; TestNewsReachesAll).
	askSoon = 300 * time.Millisecond
	newsFor = 3 * time.Second

	// askAgain is the same until the first answer after a start or a pause, when askFirst
	// nodes are asked at a time.
	askAgain = 200 * time.Millisecond
	askFirst = 3

	// mostPages bounds the datagrams of one answer: those of requests that are held and of
	// the newest ones go first.
	mostPages = 4

	// pauseAfter is the time without a step after which the process must have stood still.
	pauseAfter = 2 * time.Second

	// idleStep is how often time passes for a node that has nothing to tell or to ask: half
	// of pauseAfter, since each step wakes the process up.
	idleStep = time.Second

	// peerMemory is for how long a node is told and asked that the catalog tells of no
	// more: its worker may have ended, and be back. mostPeers bounds them.
	peerMemory = 10 * time.Minute
	mostPeers  = 4096
)

// Config tunes one node's machine.
type Config struct {
	Self   string // address by which other nodes reach this one
	Random rand.Source
}

// Machine is the state of one node. It is not safe for use by several goroutines.
type Machine struct {
	config Config
	random *rand.Rand
	ledger *ledger
	peers  map[string]time.Time // by address: when the catalog last told of it
	last   time.Time            // of the step before

	waiting  []Record  // new ones that are still to be told
	told     time.Time // from when on tellBurst counts: earlier by tellEvery for each message left
	nextAsk  time.Time
	newsTill time.Time // until when others may not have heard of the last new record
	caughtUp bool      // whether a node has answered since the start or the last pause
	out      []Effect
}

// New returns the machine of a node that knows nothing.
func New(config Config, now time.Time) *Machine {
	return &Machine{config: config, random: rand.New(config.Random), ledger: newLedger(), peers: map[string]time.Time{}, last: now}
}

// View returns what is known, for traffic to read.
func (m *Machine) View() *View { return m.ledger.view() }

// Verdict says how a request is to be treated now.
func (m *Machine) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	if held := m.ledger.cases[fingerprint]; held != nil {
		return held.verdict(now)
	}
	return Verdict{}
}

// Step takes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.out = nil
	m.noticePause(now)
	switch event := event.(type) {
	case Tick:
		if m.ledger.expire(now) {
			m.emit(Changed{})
		}
	case WorkerCrashed:
		m.onCrash(event, now)
	case Answered:
		m.release(event.Fingerprint, event.Instance, now)
	case TrialBegins:
		m.onTrial(event, now)
	case LetGo:
		m.release(event.Fingerprint, event.By, now)
	case Peers:
		m.onPeers(event.Addresses, now)
	case Heard:
		m.onMessage(event.Message, now)
	}
	m.tell(now)
	m.ask(now)
	return m.out
}

// noticePause asks others at once after the process stood still: they may have learnt of
// requests meanwhile that are queued here.
func (m *Machine) noticePause(now time.Time) {
	gap := now.Sub(m.last)
	m.last = now
	if gap < pauseAfter {
		return
	}
	m.caughtUp = false
	m.nextAsk = now
	m.emit(Log{Event: EventPaused, Gap: gap})
}

func (m *Machine) onCrash(event WorkerCrashed, now time.Time) {
	var records []Record
	for _, fingerprint := range event.Requests {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Crashed, Generation: m.ledger.generation(fingerprint), Source: event.Instance, At: now})
	}
	m.learn(records, now)
}

// release closes the generation of a request that is known.
func (m *Machine) release(fingerprint Fingerprint, by string, now time.Time) {
	if m.Verdict(fingerprint, now).State == Free {
		return
	}
	m.learn([]Record{{Fingerprint: fingerprint, Kind: Released, Generation: m.ledger.generation(fingerprint), Source: by, At: now}}, now)
}

func (m *Machine) onTrial(event TrialBegins, now time.Time) {
	verdict := m.Verdict(event.Fingerprint, now)
	source := event.Instance + "/" + strconv.Itoa(verdict.Trials) // an instance may run more than one trial
	m.learn([]Record{{Fingerprint: event.Fingerprint, Kind: Tried, Generation: m.ledger.generation(event.Fingerprint), Source: source, At: now}}, now)
	m.emit(Log{Event: EventTrial, Fingerprint: event.Fingerprint, Verdict: verdict})
}

// learn joins records and passes on those that are new.
func (m *Machine) learn(records []Record, now time.Time) {
	changed := false
	for _, record := range records {
		before := m.Verdict(record.Fingerprint, now)
		if !m.ledger.join(record, now) {
			continue
		}
		changed = true
		if len(m.waiting) < mostWaiting {
			m.waiting = append(m.waiting, record)
		}
		m.logChange(record, before, m.Verdict(record.Fingerprint, now))
	}
	if changed {
		m.newsTill = now.Add(newsFor)
		m.nextAsk = earlier(m.nextAsk, now.Add(askSoon))
		m.emit(Changed{})
	}
}

// logChange tells when a request becomes held, and when it is no more.
func (m *Machine) logChange(record Record, before, after Verdict) {
	switch {
	case before.State < Held && after.State >= Held:
		m.emit(Log{Event: EventHeld, Fingerprint: record.Fingerprint, Verdict: after})
	case before.State >= Held && after.State < Held:
		m.emit(Log{Event: EventReleased, Fingerprint: record.Fingerprint, Verdict: before, By: record.Source})
	}
}

func (m *Machine) onPeers(addresses []string, now time.Time) {
	for _, address := range addresses {
		if address != m.config.Self && (len(m.peers) < mostPeers || !m.peers[address].IsZero()) {
			m.peers[address] = now
		}
	}
	for address, told := range m.peers {
		if now.Sub(told) > peerMemory && !slices.Contains(addresses, address) {
			delete(m.peers, address)
		}
	}
}

// onMessage joins what another node knows. One that asks is answered, and asked in turn
// if the two know different things: what either of them has missed, it has then.
func (m *Machine) onMessage(message Message, now time.Time) {
	m.learn(message.Records, now)
	if message.Answer {
		m.caughtUp = true
	}
	if !message.Ask {
		return
	}
	var records []Record
	if message.Sum != m.ledger.sum {
		records = m.ledger.mostImportant(mostPages*mostTold, now)
	}
	answer := m.message(nil)
	answer.Answer = true
	answer.Ask = message.Sum != m.ledger.sum && !message.Answer
	for page := range slices.Chunk(records, mostTold) {
		answer.Records = page
		m.emit(Send{To: []string{message.From}, Message: answer})
		answer.Ask = false
	}
	if len(records) == 0 {
		m.emit(Send{To: []string{message.From}, Message: answer})
	}
}

func (m *Machine) message(records []Record) Message {
	return Message{From: m.config.Self, Sum: m.ledger.sum, Records: records}
}

// tell passes new records on to some nodes.
func (m *Machine) tell(now time.Time) {
	m.told = later(m.told, now.Add(-tellBurst*tellEvery))
	for len(m.waiting) > 0 && len(m.peers) > 0 && now.Sub(m.told) >= tellEvery {
		count := min(mostTold, len(m.waiting))
		m.emit(Send{To: m.choose(fanOut), Message: m.message(m.waiting[:count:count])})
		m.waiting = m.waiting[count:]
		m.told = m.told.Add(tellEvery)
	}
}

// Due is when the next Tick is due, if no other event comes before.
func (m *Machine) Due(now time.Time) time.Time {
	due := now.Add(idleStep)
	if len(m.waiting) > 0 {
		due = now.Add(tellEvery)
	}
	if m.wantsToAsk() {
		due = earlier(due, m.nextAsk)
	}
	return later(due, now)
}

// wantsToAsk reports whether other nodes may know what this one doesn't.
func (m *Machine) wantsToAsk() bool {
	return len(m.peers) > 0 && (!m.caughtUp || len(m.ledger.cases) > 0)
}

// ask asks other nodes for what this one lacks.
func (m *Machine) ask(now time.Time) {
	if now.Before(m.nextAsk) || !m.wantsToAsk() {
		return
	}
	count, wait := 1, askEvery
	switch {
	case !m.caughtUp:
		count, wait = askFirst, askAgain
	case now.Before(m.newsTill):
		wait = askSoon
	}
	asked := m.message(nil)
	asked.Ask = true
	m.emit(Send{To: m.choose(count), Message: asked})
	m.nextAsk = now.Add(wait)
}

// choose returns some of the other nodes, at random.
func (m *Machine) choose(count int) []string {
	addresses := make([]string, 0, len(m.peers))
	for address := range m.peers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses) // so that the random source alone decides
	m.random.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(count, len(addresses))]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *Machine) emit(effect Effect) { m.out = append(m.out, effect) }

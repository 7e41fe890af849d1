package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Rates and bounds of the exchange with other nodes.
const (
	// fanOut is the number of nodes to which each node sends a record that is new to it. With
	// six, one of 400 nodes is missed (e^-6) when no message is lost.
	fanOut = 6

	// A node may send sendBurst messages with new records at once and then one each
	// sendInterval, so that the load on the links is bounded when workers crash continuously.
	// Three nodes that observe one crash each send three messages within milliseconds.
	// maxRecordsPerMessage keeps a message within a datagram of 1,200 bytes. One crash costs a
	// node 3 to 7 kB.
	sendBurst            = 8
	sendInterval         = 200 * time.Millisecond
	maxRecordsPerMessage = 14

	// maxUnsent bounds the new records that wait to be sent. Other nodes obtain the rest by
	// their queries.
	maxUnsent = 512

	// queryInterval is the interval at which a node that has records queries one other node:
	// some 150 bytes a second in both directions. The queried node queries back, so that a node
	// that missed all messages is found by nodes with records. After a partition each node
	// queries or is queried within three seconds, after which it counts as in contact and the
	// bound on further sends of a request applies to it.
	queryInterval = 2 * time.Second

	// fastQueryInterval replaces queryInterval for fastQueryTime after a new record: nodes
	// missed by the fan-out receive it after 0.6 s at worst instead of 2.3 s (850 nodes, 5% of
	// the messages lost; TestRecordsReachAllNodes).
	fastQueryInterval = 300 * time.Millisecond
	fastQueryTime     = 3 * time.Second

	// catchUpInterval replaces queryInterval until the first reply after a start or a
	// suspension. Until then catchUpPeers nodes are queried at a time.
	catchUpInterval = 200 * time.Millisecond
	catchUpPeers    = 3

	// maxReplyDatagrams bounds the datagrams of one reply. Records of held requests and the
	// newest ones come first.
	maxReplyDatagrams = 4

	// pauseThreshold is the time without a step after which the process must have been
	// suspended.
	pauseThreshold = 2 * time.Second

	// idleTickInterval is the time until the next Tick when nothing else is due: half of
	// pauseThreshold, since each step wakes the process up.
	idleTickInterval = time.Second

	// peerRetention is how long a node that is no longer in the catalog is still sent messages
	// and queries, since its worker may be down only for a while. maxPeers bounds the number of
	// peers.
	peerRetention = 10 * time.Minute
	maxPeers      = 4096
)

// Config configures the state machine of one node.
type Config struct {
	Self   string // address by which other nodes reach this one
	Random rand.Source
}

// Machine is the state of one node. It is not safe for use by several goroutines.
type Machine struct {
	config   Config
	random   *rand.Rand
	ledger   *ledger
	peers    map[string]time.Time // by address: when the catalog last listed it
	lastStep time.Time            // time of the previous step

	unsent         []Record  // new records that wait to be sent
	sendBudgetFrom time.Time // one message may be sent for each sendInterval since then, up to sendBurst
	nextQuery      time.Time
	fastQueryUntil time.Time // until when other nodes may lack the newest record
	caughtUp       bool      // whether a node has replied since the start or the last suspension
	out            []Effect
}

// New returns the state machine of a node without any records.
func New(config Config, now time.Time) *Machine {
	return &Machine{config: config, random: rand.New(config.Random), ledger: newLedger(), peers: map[string]time.Time{}, lastStep: now}
}

// View returns an immutable view of the records, to be used by traffic.
func (m *Machine) View() *View { return m.ledger.view() }

// Verdict returns how a request is to be treated now.
func (m *Machine) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	if history := m.ledger.histories[fingerprint]; history != nil {
		return history.verdict(now)
	}
	return Verdict{}
}

// Step processes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.out = nil
	m.detectPause(now)
	switch event := event.(type) {
	case Tick:
		if m.ledger.expire(now) {
			m.emit(ViewChanged{})
		}
	case WorkerCrashed:
		m.onCrash(event, now)
	case Answered:
		m.release(event.Fingerprint, event.Instance, now)
	case TrialStarted:
		m.onTrialStarted(event, now)
	case ReleaseOrdered:
		m.release(event.Fingerprint, event.By, now)
	case Peers:
		m.onPeers(event.Addresses, now)
	case MessageReceived:
		m.onMessage(event.Message, now)
	}
	m.sendUnsent(now)
	m.queryPeers(now)
	return m.out
}

// detectPause schedules an immediate query after the process was suspended: requests that are
// queued here may have become held on other nodes in the meantime.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastStep)
	m.lastStep = now
	if gap < pauseThreshold {
		return
	}
	m.caughtUp = false
	m.nextQuery = now
	m.emit(Log{Event: EventPaused, Gap: gap})
}

func (m *Machine) onCrash(event WorkerCrashed, now time.Time) {
	var records []Record
	for _, fingerprint := range event.Requests {
		records = append(records, Record{Fingerprint: fingerprint, Kind: Crashed, Generation: m.ledger.generation(fingerprint), Source: event.Instance, At: now})
	}
	m.addRecords(records, now)
}

// release ends the current generation of a request that has records.
func (m *Machine) release(fingerprint Fingerprint, by string, now time.Time) {
	if m.Verdict(fingerprint, now).State == Free {
		return
	}
	m.addRecords([]Record{{Fingerprint: fingerprint, Kind: Released, Generation: m.ledger.generation(fingerprint), Source: by, At: now}}, now)
}

func (m *Machine) onTrialStarted(event TrialStarted, now time.Time) {
	verdict := m.Verdict(event.Fingerprint, now)
	source := event.Instance + "/" + strconv.Itoa(verdict.Trials) // unique, since an instance may run more than one trial
	m.addRecords([]Record{{Fingerprint: event.Fingerprint, Kind: Tried, Generation: m.ledger.generation(event.Fingerprint), Source: source, At: now}}, now)
	m.emit(Log{Event: EventTrial, Fingerprint: event.Fingerprint, Verdict: verdict})
}

// addRecords merges records and queues the new ones to be sent.
func (m *Machine) addRecords(records []Record, now time.Time) {
	changed := false
	for _, record := range records {
		before := m.Verdict(record.Fingerprint, now)
		if !m.ledger.merge(record, now) {
			continue
		}
		changed = true
		if len(m.unsent) < maxUnsent {
			m.unsent = append(m.unsent, record)
		}
		m.logChange(record, before, m.Verdict(record.Fingerprint, now))
	}
	if changed {
		m.fastQueryUntil = now.Add(fastQueryTime)
		m.nextQuery = earlier(m.nextQuery, now.Add(fastQueryInterval))
		m.emit(ViewChanged{})
	}
}

// logChange logs when a request becomes held, and when it no longer is.
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
		if address != m.config.Self && (len(m.peers) < maxPeers || !m.peers[address].IsZero()) {
			m.peers[address] = now
		}
	}
	for address, listed := range m.peers {
		if now.Sub(listed) > peerRetention && !slices.Contains(addresses, address) {
			delete(m.peers, address)
		}
	}
}

// onMessage merges the records of another node and replies if that node queries. If the sums
// differ, the reply contains this node's records and queries back, so that both nodes have all
// records afterwards.
func (m *Machine) onMessage(message Message, now time.Time) {
	m.addRecords(message.Records, now)
	if message.IsReply {
		m.caughtUp = true
	}
	if !message.RequestRecords {
		return
	}
	var records []Record
	if message.Sum != m.ledger.sum {
		records = m.ledger.mostImportant(maxReplyDatagrams*maxRecordsPerMessage, now)
	}
	reply := m.message(nil)
	reply.IsReply = true
	reply.RequestRecords = message.Sum != m.ledger.sum && !message.IsReply
	for page := range slices.Chunk(records, maxRecordsPerMessage) {
		reply.Records = page
		m.emit(Send{To: []string{message.From}, Message: reply})
		reply.RequestRecords = false
	}
	if len(records) == 0 {
		m.emit(Send{To: []string{message.From}, Message: reply})
	}
}

func (m *Machine) message(records []Record) Message {
	return Message{From: m.config.Self, Sum: m.ledger.sum, Records: records}
}

// sendUnsent sends new records to randomly chosen nodes, within the send budget.
func (m *Machine) sendUnsent(now time.Time) {
	m.sendBudgetFrom = later(m.sendBudgetFrom, now.Add(-sendBurst*sendInterval))
	for len(m.unsent) > 0 && len(m.peers) > 0 && now.Sub(m.sendBudgetFrom) >= sendInterval {
		count := min(maxRecordsPerMessage, len(m.unsent))
		m.emit(Send{To: m.randomPeers(fanOut), Message: m.message(m.unsent[:count:count])})
		m.unsent = m.unsent[count:]
		m.sendBudgetFrom = m.sendBudgetFrom.Add(sendInterval)
	}
}

// Due returns the time of the next Tick if no other event comes first.
func (m *Machine) Due(now time.Time) time.Time {
	due := now.Add(idleTickInterval)
	if len(m.unsent) > 0 {
		due = now.Add(sendInterval)
	}
	if m.shouldQuery() {
		due = earlier(due, m.nextQuery)
	}
	return later(due, now)
}

// shouldQuery reports whether other nodes may have records that this node lacks.
func (m *Machine) shouldQuery() bool {
	return len(m.peers) > 0 && (!m.caughtUp || len(m.ledger.histories) > 0)
}

// queryPeers queries other nodes for records when a query is due.
func (m *Machine) queryPeers(now time.Time) {
	if now.Before(m.nextQuery) || !m.shouldQuery() {
		return
	}
	count, wait := 1, queryInterval
	switch {
	case !m.caughtUp:
		count, wait = catchUpPeers, catchUpInterval
	case now.Before(m.fastQueryUntil):
		wait = fastQueryInterval
	}
	query := m.message(nil)
	query.RequestRecords = true
	m.emit(Send{To: m.randomPeers(count), Message: query})
	m.nextQuery = now.Add(wait)
}

// randomPeers returns up to count randomly chosen peers.
func (m *Machine) randomPeers(count int) []string {
	addresses := make([]string, 0, len(m.peers))
	for address := range m.peers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses) // for reproducible tests: only the random source decides
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

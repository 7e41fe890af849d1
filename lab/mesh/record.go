package mesh

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"sliphead/internal/version"
	"sliphead/lab/event"
)

// The log events of a node that the record evaluates.
const (
	eventActivated = "version.activated"
	eventReady     = "node.ready"
)

// Activation is the event that a version came into force on a node.
type Activation struct {
	Node        string
	Incarnation int // number of the start of the node's process, from 1
	Version     version.Version
	At          time.Time
}

// nodeRecord is the state of one node according to its log.
type nodeRecord struct {
	incarnation int
	active      version.Version // in this incarnation
	highest     version.Version // in all incarnations
	ready       bool            // in this incarnation
}

// Record collects events from the nodes' logs and records each violation of the
// order of versions: a node must not return to an older version. It is safe for
// concurrent use.
type Record struct {
	mutex           sync.Mutex
	nodes           map[string]*nodeRecord
	activations     []Activation
	orderViolations []string
	events          map[string]int
	changed         chan struct{}
}

func newRecord() *Record {
	return &Record{nodes: map[string]*nodeRecord{}, events: map[string]int{}, changed: make(chan struct{})}
}

// recordStart records a start of a node's process and returns the number of its incarnation.
func (r *Record) recordStart(node string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.nodes[node]
	if entry == nil {
		entry = &nodeRecord{}
		r.nodes[node] = entry
	}
	entry.incarnation++
	entry.active = version.Version{}
	entry.ready = false
	return entry.incarnation
}

// addLine evaluates one line of a node's log.
func (r *Record) addLine(node string, incarnation int, text string) {
	fields := event.Parse(text)
	name := fields["event"]
	if name == "" {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events[name]++
	entry := r.nodes[node]
	switch name {
	case eventActivated:
		r.addActivation(node, incarnation, entry, fields)
	case eventReady:
		entry.ready = true
		if entry.highest.After(entry.active) {
			r.addOrderViolation("node %s is ready in incarnation %d with version %s, but had %s in force before", node, incarnation, entry.active, entry.highest)
		}
	default:
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Record) addActivation(node string, incarnation int, entry *nodeRecord, fields map[string]string) {
	activated := parseVersion(fields["version"])
	if !activated.After(entry.active) {
		r.addOrderViolation("node %s went from version %s to %s in incarnation %d", node, entry.active, activated, incarnation)
	}
	entry.active = activated
	entry.highest = version.Max(entry.highest, activated)
	r.activations = append(r.activations, Activation{Node: node, Incarnation: incarnation, Version: activated, At: activationTime(fields)})
}

func (r *Record) addOrderViolation(format string, args ...any) {
	r.orderViolations = append(r.orderViolations, fmt.Sprintf(format, args...))
}

// activationTime returns the time that the node logged, or the current time if it logged none.
func activationTime(fields map[string]string) time.Time {
	milliseconds, err := strconv.ParseInt(fields["at_unix_ms"], 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.UnixMilli(milliseconds)
}

// parseVersion parses a version of the form epoch.revision-digest.
func parseVersion(text string) version.Version {
	numbers, digest, _ := strings.Cut(text, "-")
	epoch, revision, _ := strings.Cut(numbers, ".")
	parsed := version.Version{Digest: digest}
	parsed.Epoch, _ = strconv.ParseUint(epoch, 10, 64)
	parsed.Revision, _ = strconv.ParseUint(revision, 10, 64)
	return parsed
}

// OrderViolations returns all violations of the order of versions so far.
func (r *Record) OrderViolations() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string{}, r.orderViolations...)
}

// Events returns the number of times that an event was logged.
func (r *Record) Events(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events[name]
}

// Activations returns all activations so far, in the order of their log lines.
func (r *Record) Activations() []Activation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Activation{}, r.activations...)
}

// Behind returns those of the nodes whose version in force is older than an epoch
// and revision, or that have none in force.
func (r *Record) Behind(nodes []string, epoch, revision uint64) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.behind(nodes, version.Version{Epoch: epoch, Revision: revision})
}

func (r *Record) behind(nodes []string, wanted version.Version) []string {
	var behind []string
	for _, name := range nodes {
		entry := r.nodes[name]
		if entry == nil || wanted.After(entry.active) {
			behind = append(behind, name)
		}
	}
	return behind
}

// WaitInForce waits until a revision, or a newer one, is in force on all of the
// nodes. If the context ends first, it returns the nodes that are still behind.
func (r *Record) WaitInForce(ctx context.Context, nodes []string, epoch, revision uint64) []string {
	wanted := version.Version{Epoch: epoch, Revision: revision}
	for {
		r.mutex.Lock()
		behind := r.behind(nodes, wanted)
		changed := r.changed
		r.mutex.Unlock()
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return behind
		}
	}
}

// FirstInForce returns the first activation of a revision, or of a newer one, on
// a node, or false if there is none.
func (r *Record) FirstInForce(node string, epoch, revision uint64) (Activation, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wanted := version.Version{Epoch: epoch, Revision: revision}
	for _, activation := range r.activations {
		if activation.Node == node && !wanted.After(activation.Version) {
			return activation, true
		}
	}
	return Activation{}, false
}

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

// The events of a node's log that the record reads.
const (
	eventActivated = "version.activated"
	eventReady     = "node.ready"
)

// Activation is a version that came into force on a node.
type Activation struct {
	Node    string
	Life    int // counts the starts of the node's process, from 1
	Version version.Version
	At      time.Time
}

// nodeRecord is what the log of one node said.
type nodeRecord struct {
	life    int
	active  version.Version // in this life
	highest version.Version // in all lives
	ready   bool            // in this life
}

// Record gathers what the nodes' logs say and notes each breach of the order
// of versions.
type Record struct {
	mutex       sync.Mutex
	nodes       map[string]*nodeRecord
	activations []Activation
	breaches    []string
	events      map[string]int
	changed     chan struct{}
}

func newRecord() *Record {
	return &Record{nodes: map[string]*nodeRecord{}, events: map[string]int{}, changed: make(chan struct{})}
}

// started notes that a node's process starts and returns its life.
func (r *Record) started(node string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.nodes[node]
	if entry == nil {
		entry = &nodeRecord{}
		r.nodes[node] = entry
	}
	entry.life++
	entry.active = version.Version{}
	entry.ready = false
	return entry.life
}

// line reads one line of a node's log.
func (r *Record) line(node string, life int, text string) {
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
		r.activated(node, life, entry, fields)
	case eventReady:
		entry.ready = true
		if entry.highest.After(entry.active) {
			r.breach("node %s is ready in life %d with version %s after it had held %s", node, life, entry.active, entry.highest)
		}
	default:
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Record) activated(node string, life int, entry *nodeRecord, fields map[string]string) {
	activated := parseVersion(fields["version"])
	if !activated.After(entry.active) {
		r.breach("node %s went from version %s to %s in life %d", node, entry.active, activated, life)
	}
	entry.active = activated
	entry.highest = version.Max(entry.highest, activated)
	r.activations = append(r.activations, Activation{Node: node, Life: life, Version: activated, At: activationTime(fields)})
}

func (r *Record) breach(format string, args ...any) {
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

// activationTime is the moment that the node logged, or now if it logged none.
func activationTime(fields map[string]string) time.Time {
	milliseconds, err := strconv.ParseInt(fields["at_unix_ms"], 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.UnixMilli(milliseconds)
}

// parseVersion reads epoch.revision-digest.
func parseVersion(text string) version.Version {
	numbers, digest, _ := strings.Cut(text, "-")
	epoch, revision, _ := strings.Cut(numbers, ".")
	parsed := version.Version{Digest: digest}
	parsed.Epoch, _ = strconv.ParseUint(epoch, 10, 64)
	parsed.Revision, _ = strconv.ParseUint(revision, 10, 64)
	return parsed
}

// Breaches returns each breach of the order of versions so far.
func (r *Record) Breaches() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string{}, r.breaches...)
}

// Events returns how often an event was logged.
func (r *Record) Events(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events[name]
}

// Activations returns all activations so far, in the order in which their
// lines were read.
func (r *Record) Activations() []Activation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Activation{}, r.activations...)
}

// Behind returns the nodes whose version in force is below an epoch and
// revision.
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

// WaitInForce waits until a revision, or a later one, is in force on all of the
// nodes. It returns those that are still behind when the context ends.
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

// FirstInForce returns when a revision, or a later one, first came into force
// on a node, and false if it has not.
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

// Package machines implements a stand-in for the platform's list of live and
// leaving machines. Changes become visible to readers after a configurable lag.
package machines

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Path is the URL path of the list.
const Path = "/v1/machines"

// State is the state of a machine as the platform reports it.
type State string

// The states of a machine.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service,omitempty"`
	Peer    string `json:"peer"` // host:port of the node's peer listener
	State   State  `json:"state"`
}

// snapshot is the list as it was after a change.
type snapshot struct {
	since    time.Time
	machines []Machine
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	history []snapshot
	now     func() time.Time
}

// New returns an empty list whose changes become visible after lag. now is its clock.
func New(lag time.Duration, now func() time.Time) *List {
	return &List{lag: lag, now: now}
}

// Seed replaces the list. Unlike other changes, this is visible at once.
func (l *List) Seed(machines ...Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.history = []snapshot{{machines: slices.Clone(machines)}}
}

// Set adds a machine or replaces its entry.
func (l *List) Set(machine Machine) {
	l.change(func(machines []Machine) []Machine {
		machines = slices.DeleteFunc(machines, func(other Machine) bool { return other.Name == machine.Name })
		return append(machines, machine)
	})
}

// Remove removes a machine from the list.
func (l *List) Remove(name string) {
	l.change(func(machines []Machine) []Machine {
		return slices.DeleteFunc(machines, func(machine Machine) bool { return machine.Name == name })
	})
}

func (l *List) change(edit func([]Machine) []Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var newest []Machine
	if len(l.history) > 0 {
		newest = slices.Clone(l.history[len(l.history)-1].machines)
	}
	now := l.now()
	l.history = append(l.history, snapshot{since: now, machines: edit(newest)})
	l.dropObsolete(now)
}

// dropObsolete drops the snapshots that a newer visible one has replaced. Callers
// hold the mutex.
func (l *List) dropObsolete(now time.Time) {
	for len(l.history) > 1 && !l.history[1].since.Add(l.lag).After(now) {
		l.history = l.history[1:]
	}
}

// Visible returns the list as it is visible to readers now, nil if no list is visible yet.
func (l *List) Visible() []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.dropObsolete(now)
	if len(l.history) == 0 {
		return nil
	}
	first := l.history[0]
	if !first.since.IsZero() && first.since.Add(l.lag).After(now) {
		return nil
	}
	return slices.Clone(first.machines)
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path || request.Method != http.MethodGet {
		http.NotFound(writer, request)
		return
	}
	machines := l.Visible()
	if machines == nil {
		machines = []Machine{}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(struct {
		Machines []Machine `json:"machines"`
	}{machines})
}

// Package machines is a stand-in for the platform's list of live and leaving
// machines. The list lags behind the truth by a setting.
package machines

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Path is where the list is served.
const Path = "/v1/machines"

// State is what the platform says of a machine.
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

// listed is the list as it stood from a moment on.
type listed struct {
	since    time.Time
	machines []Machine
}

// List is the stand-in.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	history []listed
	now     func() time.Time
}

// New returns a list that shows each change a lag after it was made.
func New(lag time.Duration, now func() time.Time) *List {
	return &List{lag: lag, now: now}
}

// Seed sets machines that the list shows at once, whatever the lag.
func (l *List) Seed(machines ...Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.history = []listed{{machines: slices.Clone(machines)}}
}

// Set adds a machine or changes its entry.
func (l *List) Set(machine Machine) {
	l.change(func(machines []Machine) []Machine {
		machines = slices.DeleteFunc(machines, func(other Machine) bool { return other.Name == machine.Name })
		return append(machines, machine)
	})
}

// Remove takes a machine off the list.
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
	l.history = append(l.history, listed{since: now, machines: edit(newest)})
	l.forget(now)
}

// forget drops what no reader can see any more. Callers hold the mutex.
func (l *List) forget(now time.Time) {
	for len(l.history) > 1 && !l.history[1].since.Add(l.lag).After(now) {
		l.history = l.history[1:]
	}
}

// Shown returns the list as a reader sees it now.
func (l *List) Shown() []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.forget(now)
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
	machines := l.Shown()
	if machines == nil {
		machines = []Machine{}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(struct {
		Machines []Machine `json:"machines"`
	}{machines})
}

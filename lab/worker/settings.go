// Package worker is a stand-in for the users' back ends: an HTTP server with
// slots, a bound on connections, a cold start, drain, shedding, cancellation,
// deadlines, costs and faults, and a journal of every run.
package worker

import "time"

// Settings describe one worker.
type Settings struct {
	Name           string        `help:"Name of the worker." required:""`
	Service        string        `help:"Service of the worker." required:""`
	Listen         string        `help:"Address to listen on, IP:port." required:""`
	Outbound       string        `help:"Address of the node's outbound listener, for nested calls, IP:port."`
	Slots          int           `help:"Requests run at once." default:"6"`
	Queue          int           `help:"Requests that may wait for a slot; more are shed." default:"12"`
	Connections    int           `help:"Open connections at most; more are closed at once." default:"130"`
	ColdStart      time.Duration `help:"Time from start to ready." default:"0s"`
	ConnectionCost time.Duration `help:"Time that a new connection costs." default:"1ms"`
	ProbeCost      time.Duration `help:"Time that a health probe costs; it takes a slot." default:"0s"`
	RunTime        time.Duration `help:"Time that a request runs." default:"2ms"`
	Credential     string        `help:"Bearer token that requests must present; none: not checked."`
	HealthLag      time.Duration `help:"How old the reported health and load are." default:"0s"`
}

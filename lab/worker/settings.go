// Package worker implements a stand-in for the users' back ends: an HTTP server
// that simulates slots, a connection limit, cold start, drain, shedding,
// cancellation, deadlines, costs and faults, and keeps a journal of every run.
package worker

import "time"

// Settings configures one worker. The fields are its command-line flags.
type Settings struct {
	Name           string        `help:"Name of the worker." required:""`
	Service        string        `help:"Service of the worker." required:""`
	Listen         string        `help:"Address to listen on, IP:port." required:""`
	Outbound       string        `help:"Address of the node's outbound listener, for nested calls, IP:port."`
	Slots          int           `help:"Number of requests that run concurrently." default:"6"`
	Queue          int           `help:"Number of requests that may wait for a slot; further ones are shed." default:"12"`
	Connections    int           `help:"Maximum number of open connections; further ones are closed at once." default:"130"`
	ColdStart      time.Duration `help:"Time from start to ready." default:"0s"`
	ConnectionCost time.Duration `help:"Delay before the first read of a new connection." default:"1ms"`
	ProbeCost      time.Duration `help:"Time for which a health probe occupies a slot." default:"0s"`
	RunTime        time.Duration `help:"Run time of a request." default:"2ms"`
	Credential     string        `help:"Bearer token that requests must carry; not checked when empty."`
	HealthLag      time.Duration `help:"Age of the reported health and load." default:"0s"`
}

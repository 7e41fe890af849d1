package main

import (
	"context"
	"runtime/debug"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/internal/settings"
	"sliphead/internal/transport"
	"sliphead/lab/fleet"
)

// collectorPercent lets the heap of a fleet grow more between collections: one
// process holds what many machines would.
const collectorPercent = 300

// fleetCommand runs hollow nodes in this process.
type fleetCommand struct {
	Nodes       int    `help:"Hollow nodes in this process." default:"850"`
	Patience    int    `help:"Multiplies the waits of the failure detector: hollow nodes share processors." default:"1"`
	StartRate   int    `help:"Nodes started a second; 0 starts all at once." default:"0"`
	Services    int    `help:"Services that the nodes are spread over." default:"29"`
	Claims      bool   `help:"Hold claims too; the process needs two file descriptors for each pair of nodes of a service."`
	Octet       int    `help:"Second octet of the first zone's loopback addresses; five in a row are used." default:"20"`
	Profile     string `help:"Profile of all nodes." enum:"convergence,bytes" default:"convergence"`
	Compression string `help:"Coding of streams." enum:"deflate,none" default:"deflate"`
	History     int    `help:"Former versions kept for deltas; 0 sends whole versions." default:"4"`
	Changes     int    `help:"Configuration changes to measure." default:"20"`
	Restarts    int    `help:"Nodes killed and started again one by one." default:"20"`
	Baseline    string `help:"Run a baseline in place of our own distribution." enum:",poll,flood" default:""`
	Faults      bool   `help:"Also kill half the nodes at once, and cut a zone off and heal it."`
}

// Run implements the command.
func (c *fleetCommand) Run(ctx context.Context, logger log.Interface) error {
	debug.SetGCPercent(collectorPercent)
	options := fleet.Options{
		Nodes:       c.Nodes,
		Octet:       c.Octet,
		Profile:     settings.Profile(c.Profile),
		Compression: transport.Compression(c.Compression),
		History:     c.History,
		StartRate:   c.StartRate,
		Patience:    c.Patience,
		Services:    c.Services,
		Claims:      c.Claims,
	}
	result, err := c.run(ctx, options)
	fields := log.Fields{"event": "experiment.result", "name": "fleet", "verdict": "pass"}
	if result != nil {
		for key, value := range result.Fields {
			fields[key] = value
		}
		if len(result.Violations) > 0 {
			fields["violations"] = result.Violations
		}
	}
	if err != nil || len(result.Violations) > 0 {
		fields["verdict"] = "fail"
		logger.WithFields(fields).Info("")
		return fault.Wrap(err, fault.Internal, "read the figures above", "the fleet of %d failed", c.Nodes)
	}
	logger.WithFields(fields).Info("")
	return nil
}

// run runs our own distribution or a baseline.
func (c *fleetCommand) run(ctx context.Context, options fleet.Options) (*fleet.Result, error) {
	if c.Baseline != "" {
		return fleet.RunBaseline(ctx, fleet.Baseline(c.Baseline), options, c.Changes)
	}
	return fleet.Run(ctx, options, fleet.Schedule{Changes: c.Changes, Restarts: c.Restarts, Faults: c.Faults})
}

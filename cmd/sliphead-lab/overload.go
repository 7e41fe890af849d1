package main

import (
	"context"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/overload"
)

// overloadCommand tries overload and misbehaving workers.
type overloadCommand struct {
	Warm   time.Duration `help:"Time before requests count, at overload." default:"2s"`
	Length time.Duration `help:"Time in which requests count, for each load and each way of choice." default:"6s"`
	Seed   uint64        `help:"Decides the random choice that ours is compared with." default:"1"`
}

// Run implements the command.
func (c *overloadCommand) Run(ctx context.Context, logger log.Interface) error {
	options := overload.Options{Warm: c.Warm, Length: c.Length, Seed: c.Seed}
	failed := ""
	trials := []struct {
		name string
		run  func(context.Context, overload.Options) (log.Fields, bool, error)
	}{{"overload", overload.Overload}, {"balance", overload.Balance}}
	for _, trial := range trials {
		fields, passed, err := trial.run(ctx, options)
		if err != nil {
			return err
		}
		fields["event"] = "experiment.result"
		fields["name"] = trial.name
		fields["verdict"] = verdictOf(passed)
		logger.WithFields(fields).Info("")
		if !passed {
			failed += " " + trial.name
		}
	}
	if failed != "" {
		return fault.New(fault.Overload, "read the result lines above", "failed:%s", failed)
	}
	return nil
}

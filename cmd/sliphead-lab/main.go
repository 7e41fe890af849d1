// Command sliphead-lab holds the stand-ins and experiments with which sliphead
// is tried: a whole mesh with its platform, workers and callers on one machine.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"

	"sliphead/lab/event"
)

// commands is the grammar of the command line.
type commands struct {
	Demo    demoCommand    `cmd:"" help:"Run both users' meshes small, end to end, and end by itself."`
	Run     runCommand     `cmd:"" help:"Run an experiment file."`
	Latency latencyCommand `cmd:"" help:"Measure what the two hops add to a call, against direct calls in the same run."`
	Relay   relayCommand   `cmd:"" hidden:"" help:"Pass bytes on, to compare with."`
	Report  reportCommand  `cmd:"" help:"Draw the plots of a run's report."`
	Worker  workerCommand  `cmd:"" help:"Run one stand-in worker until a signal ends it."`
	Source  sourceCommand  `cmd:"" help:"Run a stand-in configuration service until a signal ends it."`
}

func main() {
	var grammar commands
	parsed := kong.Parse(&grammar, kong.Name("sliphead-lab"), kong.Description("Stand-ins and experiments for sliphead."))
	logger := &log.Logger{Handler: event.NewHandler(os.Stdout), Level: log.InfoLevel}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(logger, (*log.Interface)(nil))
	if err := parsed.Run(); err != nil {
		logger.WithFields(log.Fields{"event": "lab.failed", "error": err.Error()}).Error("")
		stop()
		os.Exit(1)
	}
}

// Command sliphead-lab runs stand-ins and experiments that test sliphead: a
// complete mesh with its platform, workers and callers on one machine.
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

// commands defines the command line.
type commands struct {
	Demo    demoCommand    `cmd:"" help:"Run small end-to-end meshes of both users; ends without a signal."`
	Run     runCommand     `cmd:"" help:"Run an experiment file."`
	Latency latencyCommand `cmd:"" help:"Measure the latency that the two hops add to a call, compared with direct calls in the same run."`
	Relay   relayCommand   `cmd:"" hidden:"" help:"Forward connections, as a baseline for latency."`
	Report  reportCommand  `cmd:"" help:"Draw the plots of a run's report."`
	Worker  workerCommand  `cmd:"" help:"Run one stand-in worker until it receives a signal."`
	Source  sourceCommand  `cmd:"" help:"Run a stand-in configuration service until it receives a signal."`
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

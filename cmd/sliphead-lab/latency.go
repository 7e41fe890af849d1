package main

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/latency"
)

// latencyCommand measures the latency that the two hops add.
type latencyCommand struct {
	meshFlags
	Former    string        `help:"Another build of the sliphead program to compare with in the same run." type:"existingfile" optional:""`
	Rates     []float64     `help:"Request rates per second on one pair of nodes, measured one after the other." default:"55,550,2750"`
	Span      time.Duration `help:"Length of a measured span; direct spans and spans through the nodes alternate." default:"2s"`
	Spans     int           `help:"Number of spans for each path and rate." default:"10"`
	RunMillis float64       `help:"Run time of a request at the worker, milliseconds." default:"1"`
	Slots     int           `help:"Number of the worker's slots." default:"64"`
}

// Run implements the command.
func (c *latencyCommand) Run(ctx context.Context, logger log.Interface) error {
	directory, clean, err := c.directory()
	if err != nil {
		return err
	}
	defer clean()
	options, err := c.options(directory, 0)
	if err != nil {
		return err
	}
	all, err := latency.Run(ctx, latency.Options{
		Mesh: options, Former: c.Former, Rates: c.Rates, Span: c.Span, Spans: c.Spans, RunMillis: c.RunMillis, Slots: c.Slots, Seed: c.Seed,
	})
	wrong := 0
	for _, figures := range all {
		wrong += figures.Wrong
		fields := figures.Fields()
		fields["event"] = "experiment.result"
		fields["name"] = "latency"
		fields["verdict"] = verdict(figures.Wrong == 0)
		logger.WithFields(fields).Info("")
	}
	if err == nil && wrong > 0 {
		err = fault.New(fault.Worker, "find the hop that mixed up responses", "%d responses were wrong", wrong)
	}
	return err
}

func verdict(passed bool) string {
	if passed {
		return "pass"
	}
	return "fail"
}

// relayCommand forwards connections until its standard input is closed.
type relayCommand struct {
	Listen string `help:"Address to listen on, IP:port." required:""`
	To     string `help:"Address to forward connections to, IP:port." required:""`
}

// Run implements the command.
func (c *relayCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "choose a free address", "listen on %s", c.Listen)
	}
	return latency.Relay(ctx, listener, c.To)
}

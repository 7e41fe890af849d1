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

// latencyCommand measures the two hops.
type latencyCommand struct {
	meshFlags
	Former    string        `help:"Another sliphead program to compare with in the same run." type:"existingfile" optional:""`
	Rates     []float64     `help:"Requests a second on one pair of nodes, measured one after the other." default:"55,550,2750"`
	Span      time.Duration `help:"Length of a span; spans to the worker directly and through the nodes alternate." default:"2s"`
	Spans     int           `help:"Spans of each path for each rate." default:"10"`
	RunMillis float64       `help:"Time that a request runs at the worker, milliseconds." default:"1"`
	Slots     int           `help:"Slots of the worker." default:"64"`
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
		fields["verdict"] = verdictOf(figures.Wrong == 0)
		logger.WithFields(fields).Info("")
	}
	if err == nil && wrong > 0 {
		err = fault.New(fault.Worker, "find the hop that mixed the answers", "%d wrong answers", wrong)
	}
	return err
}

func verdictOf(passed bool) string {
	if passed {
		return "pass"
	}
	return "fail"
}

// relayCommand passes bytes on until its standard input ends.
type relayCommand struct {
	Listen string `help:"Address to listen on, IP:port." required:""`
	To     string `help:"Address to pass bytes on to, IP:port." required:""`
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

// Package node holds the command that runs one process of the system.
package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
	systemnode "sliphead/internal/node"
	"sliphead/internal/settings"
)

// Command runs a node until it is told to stop. The first SIGTERM or SIGINT
// begins a planned stop, the second ends the process at once.
type Command struct {
	Settings      string `required:"" type:"path" help:"The settings file (YAML)."`
	PrintSettings bool   `help:"Print the settings in force, with defaults, and exit."`
	LogLevel      string `default:"info" enum:"debug,info,warn,error" help:"The least level that is logged."`

	Name     string `help:"Override the node's name."`
	Zone     string `help:"Override the zone."`
	Region   string `help:"Override the region."`
	Peer     string `help:"Override listen.peer (IP:port)."`
	Inbound  string `help:"Override listen.inbound (IP:port)."`
	Outbound string `help:"Override listen.outbound (IP:port)."`
	Admin    string `help:"Override listen.admin (IP:port)."`
}

// Run implements the command.
func (c *Command) Run(output io.Writer) error {
	configured, err := settings.Load(c.Settings, c.override)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return configured.Print(output)
	}
	logger := logging.New(os.Stderr, log.MustParseLevel(c.LogLevel))
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	running, err := systemnode.New(configured, systemnode.Options{Logger: logger, Registry: registry, History: -1})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopHandling := handleSignals(running, cancel, logger)
	defer stopHandling()
	return running.Run(ctx)
}

// override applies the flags to the settings.
func (c *Command) override(configured *settings.Settings) {
	for target, value := range map[*string]string{
		&configured.Name:            c.Name,
		&configured.Zone:            c.Zone,
		&configured.Region:          c.Region,
		&configured.Listen.Peer:     c.Peer,
		&configured.Listen.Inbound:  c.Inbound,
		&configured.Listen.Outbound: c.Outbound,
		&configured.Listen.Admin:    c.Admin,
	} {
		if value != "" {
			*target = value
		}
	}
}

// handleSignals turns the first signal into a planned stop and the second into
// an immediate one. It returns a function that ends the handling.
func handleSignals(running *systemnode.Node, cancel context.CancelFunc, logger log.Interface) func() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if _, open := <-signals; !open {
			return
		}
		running.Stop()
		if _, open := <-signals; !open {
			return
		}
		logging.Problem(logger, "node.cut", fault.New(fault.Unready, "send one signal only and wait", "a second signal cut the planned stop"),
			logging.Fields{"in_flight": running.InFlight()})
		cancel()
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

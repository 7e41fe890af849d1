// Package node holds the command that runs one process of the system.
package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
	systemnode "sliphead/internal/node"
	"sliphead/internal/settings"
)

// Command runs a node until it is told to stop. The first SIGTERM or SIGINT
// begins a planned stop, the second ends the process at once. SIGHUP reads the
// settings again.
type Command struct {
	Settings      string `required:"" type:"path" env:"${settings_variable}" help:"The settings file (YAML)."`
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

// flushTime is how long the last lines of the log may take to be written.
const flushTime = 200 * time.Millisecond

// process is a running node, of either kind.
type process interface {
	Run(ctx context.Context) error
	Stop()
	InFlight() int
}

// Run implements the command.
func (c *Command) Run(output io.Writer, adapter systemnode.Adapter) error {
	configured, err := settings.Load(c.Settings, c.override)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return configured.Print(output)
	}
	boundHeap()
	queue := logging.NewQueue(os.Stdout)
	defer queue.Flush(flushTime)
	logger := &log.Logger{Handler: queue, Level: log.MustParseLevel(c.LogLevel)}
	running, err := assemble(configured, adapter, logger, queue.Dropped)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopHandling := c.handleSignals(running, cancel, logger)
	defer stopHandling()
	return running.Run(ctx)
}

// heapGrowth is by how many parts in a hundred the heap may outgrow what is in use
// before it is collected. A node holds little, so that the runtime's own 100 buys
// few collections for much memory: docs/design/decisions-under-load.md.
const heapGrowth = 50

// boundHeap applies heapGrowth, unless the operator has set GOGC.
func boundHeap() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
}

// assemble makes the kind of node that the settings ask for: one that a store
// serves, or one with declarations and peers of its own.
func assemble(configured *settings.Settings, adapter systemnode.Adapter, logger log.Interface, dropped func() uint64) (process, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	options := systemnode.Options{Logger: logger, Registry: registry, DroppedLines: dropped}
	if configured.Source.Store != "" {
		return systemnode.NewCatalog(configured, adapter, options)
	}
	return systemnode.New(configured, options)
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

// handleSignals turns the first SIGTERM or SIGINT into a planned stop and the
// second into an immediate one, and SIGHUP into a reload. It returns a function
// that ends the handling.
func (c *Command) handleSignals(running process, cancel context.CancelFunc, logger log.Interface) func() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		stopping := false
		for received := range signals {
			switch {
			case received == syscall.SIGHUP:
				c.reload(logger)
			case !stopping:
				stopping = true
				running.Stop()
			default:
				logging.Problem(logger, "node.cut", fault.New(fault.Unready, "send one signal only and wait", "a second signal cut the planned stop"),
					logging.Fields{"in_flight": running.InFlight()})
				cancel()
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// reload checks the settings file again. A bad one changes nothing. Settings
// are taken at the start of a process, so a good one says what a restart would
// bring.
func (c *Command) reload(logger log.Interface) {
	if _, err := settings.Load(c.Settings, c.override); err != nil {
		logging.Problem(logger, "settings.refused", err, logging.Fields{"file": c.Settings})
		return
	}
	logging.Event(logger, "settings.checked", logging.Fields{"file": c.Settings})
}

// Package node implements the command that runs a node.
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

	"sliphead/internal/build"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	systemnode "sliphead/internal/node"
	"sliphead/internal/settings"
)

// Command runs a node until it receives a signal to stop. The first SIGTERM or SIGINT
// starts a planned stop, the second stops the node immediately. SIGHUP checks the
// settings file.
type Command struct {
	Settings      string `required:"" type:"path" env:"${settings_variable}" help:"The settings file (YAML)."`
	PrintSettings bool   `help:"Print the settings in force, with defaults, and exit."`
	LogLevel      string `default:"info" enum:"debug,info,warn,error" help:"The lowest level that is logged."`

	Name     string `help:"Override the node's name."`
	Zone     string `help:"Override the zone."`
	Region   string `help:"Override the region."`
	Peer     string `help:"Override listen.peer (IP:port)."`
	Inbound  string `help:"Override listen.inbound (IP:port)."`
	Outbound string `help:"Override listen.outbound (IP:port)."`
	Admin    string `help:"Override listen.admin (IP:port)."`
}

// flushTimeout is the timeout for writing the last log lines at the end of the process.
const flushTimeout = 200 * time.Millisecond

// process is a node of either kind.
type process interface {
	Run(ctx context.Context) error
	Stop()
	InFlight() int
}

// Run runs the node until it stops. With PrintSettings it only prints the settings.
func (c *Command) Run(output io.Writer, adapter systemnode.Adapter) error {
	configured, err := settings.Load(c.Settings, c.override)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return configured.Print(output)
	}
	setGCPercent()
	queue := logging.NewQueue(os.Stdout)
	defer queue.Flush(flushTimeout)
	logger := &log.Logger{Handler: queue, Level: log.MustParseLevel(c.LogLevel)}
	running, err := newProcess(configured, adapter, logger, queue.Dropped)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopHandling := c.handleSignals(running, cancel, logger)
	defer stopHandling()
	return running.Run(ctx)
}

// gcPercent is the percentage by which the heap may grow beyond the live heap before
// a garbage collection. A node's live heap is small, so that the runtime's default of
// 100 saves few collections and costs much memory: docs/design/decisions-under-load.md.
const gcPercent = 50

// setGCPercent applies gcPercent, unless the operator has set GOGC.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// newProcess creates the kind of node that the settings select: one that is served by a
// store, or one that reads declarations and communicates with peers.
func newProcess(configured *settings.Settings, adapter systemnode.Adapter, logger log.Interface, dropped func() uint64) (process, error) {
	registry := prometheus.NewRegistry()
	program := build.Read()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), program.Metric())
	options := systemnode.Options{Logger: logger, Registry: registry, DroppedLines: dropped, Build: program}
	if configured.Source.Store != "" {
		return systemnode.NewCatalog(configured, adapter, options)
	}
	return systemnode.New(configured, options)
}

// override replaces settings by the flags that are not empty.
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

// handleSignals starts a planned stop at the first SIGTERM or SIGINT, an immediate
// stop at the second, and checks the settings at SIGHUP. It returns a function that
// ends the handling.
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
				logging.Problem(logger, "node.cut", fault.New(fault.Unready, "send only one signal and wait", "a second signal ended the planned stop early"),
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

// reload checks the settings file and logs whether it is valid. It applies nothing:
// settings take effect only when a process starts, so the log shows whether a restart
// would succeed.
func (c *Command) reload(logger log.Interface) {
	if _, err := settings.Load(c.Settings, c.override); err != nil {
		logging.Problem(logger, "settings.refused", err, logging.Fields{"file": c.Settings})
		return
	}
	logging.Event(logger, "settings.checked", logging.Fields{"file": c.Settings})
}

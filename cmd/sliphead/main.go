// Command sliphead is the system's one program: a node, and the commands by
// which operators check declarations and watch nodes.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"

	"sliphead/internal/command/check"
	"sliphead/internal/command/drain"
	"sliphead/internal/command/explain"
	"sliphead/internal/command/node"
	"sliphead/internal/command/plan"
	"sliphead/internal/command/refusals"
	"sliphead/internal/command/release"
	"sliphead/internal/command/status"
	"sliphead/internal/command/trace"
	"sliphead/platform"
)

// grammar is the command line.
type grammar struct {
	Node     node.Command     `cmd:"" help:"Run a node beside a worker, or as an edge."`
	Check    check.Command    `cmd:"" help:"Check a directory of declarations."`
	Plan     plan.Command     `cmd:"" help:"Show which routes gain or lose which workers by a change, now and over the coming week."`
	Explain  explain.Command  `cmd:"" help:"Say for each worker of a route why it takes traffic or not."`
	Status   status.Command   `cmd:"" help:"Show what a node knows: versions, readers, members, what waits and why."`
	Trace    trace.Command    `cmd:"" help:"Follow one request through the logs of several nodes."`
	Refusals refusals.Command `cmd:"" help:"Show from the logs of all nodes when and why requests were refused."`
	Release  release.Command  `cmd:"" help:"Let a request go that is held because workers ended under it."`
	Drain    drain.Command    `cmd:"" help:"Begin a node's planned stop."`
}

func main() {
	parsed := kong.Parse(&grammar{},
		kong.Name("sliphead"),
		kong.Description("Distributes configuration to the proxies of a service mesh and carries their requests."),
		kong.Vars{"settings_variable": platform.SettingsVariable},
		kong.Bind(platform.Adapter()),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}

// Command sliphead runs a node, and provides the commands with which operators
// check declarations and inspect nodes.
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
	"sliphead/internal/command/version"
	"sliphead/platform"
)

// grammar defines the command line.
type grammar struct {
	Node     node.Command     `cmd:"" help:"Run a node for a worker, or as an edge."`
	Check    check.Command    `cmd:"" help:"Check a directory of declarations."`
	Plan     plan.Command     `cmd:"" help:"Show which workers a change adds to or removes from each route, now and over the next week."`
	Explain  explain.Command  `cmd:"" help:"Explain for each worker of a route why it receives traffic or not."`
	Status   status.Command   `cmd:"" help:"Show a node's state: versions, readers, members, and what is pending and why."`
	Trace    trace.Command    `cmd:"" help:"Follow one request through the logs of several nodes."`
	Refusals refusals.Command `cmd:"" help:"Show from the logs of all nodes when and why requests were rejected."`
	Release  release.Command  `cmd:"" help:"Release a request from quarantine, where it is because workers terminated while they ran it."`
	Drain    drain.Command    `cmd:"" help:"Start the planned shutdown of a node."`
	Version  version.Command  `cmd:"" help:"Tell from which sources this program was built."`
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

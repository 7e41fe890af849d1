// Package plan implements the command that shows how a change of declarations affects
// routes: now, and at each moment of the coming week at which a window opens or closes.
package plan

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"sliphead/internal/declaration"
)

// Horizon is the period that a plan covers.
const Horizon = 7 * 24 * time.Hour

// Command defines the flags of "plan --from A --to B --at TIME".
type Command struct {
	From string    `required:"" help:"Directory of the declarations in force." type:"existingdir"`
	To   string    `required:"" help:"Directory of the changed declarations." type:"existingdir"`
	At   time.Time `help:"Moment of the change, as in 2026-12-02T18:30:00+05:30 (default: now)."`
}

// Run prints the changes of the routes' fields, then for each moment the routes that
// gain (+) or lose (-) workers by the change. A moment is left out when its gains and
// losses are the same as at the moment before.
func (c *Command) Run(output io.Writer) error {
	from, err := declaration.LoadValid(os.DirFS(c.From))
	if err != nil {
		return err
	}
	to, err := declaration.LoadValid(os.DirFS(c.To))
	if err != nil {
		return err
	}
	at := cmp.Or(c.At, time.Now())
	for _, line := range routeChanges(from, to) {
		fmt.Fprintln(output, line)
	}
	steps := computeSteps(from, to, at)
	for _, step := range steps {
		write(output, step)
	}
	if len(steps) == 0 {
		fmt.Fprintf(output, "no route gains or loses a worker until %s\n", at.Add(Horizon).Format(time.RFC3339))
	}
	return nil
}

func write(output io.Writer, step step) {
	fmt.Fprintln(output, step.at.Format(time.RFC3339))
	for _, each := range step.changes {
		fmt.Fprintf(output, "  %s: %s\n", strings.Join(each.routes, ","), each.change)
	}
}

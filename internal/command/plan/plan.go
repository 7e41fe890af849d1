// Package plan shows operators what a change of declarations does to routes,
// now and at each moment of the coming week at which a window opens or closes.
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

// Horizon is how far a plan looks ahead.
const Horizon = 7 * 24 * time.Hour

// Command is the grammar of "plan --from A --to B --at TIME".
type Command struct {
	From string    `required:"" help:"Directory of the declarations in force." type:"existingdir"`
	To   string    `required:"" help:"Directory of the declarations to come." type:"existingdir"`
	At   time.Time `help:"Moment of the change, as in 2026-12-02T18:30:00+05:30 (default: now)."`
}

// Run prints the changes of the routes themselves, then for each moment the
// routes that gain (+) or lose (-) workers by the change. A moment at which the
// gains and losses are those of the moment before is left out.
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
	steps := stepsOf(from, to, at)
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

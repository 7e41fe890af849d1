// Package explain implements the command that shows why a route selects a worker or
// does not.
package explain

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// Command defines the flags of "explain --declarations DIR --route R --at TIME".
type Command struct {
	Declarations string    `required:"" help:"Directory of declarations (*.yaml)." type:"existingdir"`
	Route        string    `required:"" help:"Name of the route."`
	At           time.Time `help:"Moment to explain, as in 2026-12-02T18:30:00+05:30 (default: now)."`
	Zone         string    `help:"Show only the workers of this zone."`
}

// Run prints for each worker of the route's service whether it is selected, and for
// each selector that does not select it the reasons.
func (c *Command) Run(output io.Writer) error {
	document, err := declaration.LoadValid(os.DirFS(c.Declarations))
	if err != nil {
		return err
	}
	route, err := findRoute(document, c.Route)
	if err != nil {
		return err
	}
	if err := checkZone(document, c.Zone); err != nil {
		return err
	}
	at := cmp.Or(c.At, time.Now())
	fmt.Fprintf(output, "route %s of service %s at %s\n", route.Name, route.Service, at.Format(time.RFC3339))
	for _, selection := range declaration.NewEvaluator(document).Explain(route, at) {
		if c.Zone == "" || c.Zone == selection.Worker.Zone {
			writeSelection(output, selection)
		}
	}
	return nil
}

func writeSelection(output io.Writer, selection declaration.WorkerSelection) {
	state := "not selected"
	if selection.Selected {
		state = "selected"
	}
	fmt.Fprintf(output, "%s in %s: %s\n", selection.Worker.Name, selection.Worker.Zone, state)
	for _, each := range selection.Selectors {
		if each.Selected {
			fmt.Fprintf(output, "  %s: selects it\n", each.Selector)
			continue
		}
		fmt.Fprintf(output, "  %s: %s\n", each.Selector, strings.Join(each.Reasons, "; "))
	}
}

func findRoute(document *declaration.Document, name string) (declaration.Route, error) {
	index := slices.IndexFunc(document.Routes, func(route declaration.Route) bool { return route.Name == name })
	if index < 0 {
		return declaration.Route{}, fault.New(fault.Declaration, "give the name of a route under routes", "no route %q is declared", name)
	}
	return document.Routes[index], nil
}

func checkZone(document *declaration.Document, name string) error {
	declared := slices.ContainsFunc(document.Zones, func(zone declaration.Zone) bool { return zone.Name == name })
	if name == "" || declared {
		return nil
	}
	return fault.New(fault.Declaration, "give the name of a zone under zones", "no zone %q is declared", name)
}

// Package trace holds the command that follows one request through the logs of
// several nodes.
package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"sliphead/internal/command/logfile"
	"sliphead/internal/fault"
)

// Command prints the lines of one request in the order of their time.
type Command struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of the nodes; none: standard input."`
}

// line is a line of a log, with what it is sorted by.
type line struct {
	time  string // RFC 3339, sorts as text
	order int    // place among all lines read
	text  string
}

// Run implements the command.
func (c *Command) Run(output io.Writer) error {
	found, err := c.collect()
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return fault.New(fault.Caller, "give the logs of all nodes; requests that were answered are counted and not logged, and bursts are cut (event log.limited)",
			"no line names request %q", c.ID)
	}
	for _, each := range found {
		if _, err := fmt.Fprintln(output, each.text); err != nil {
			return err
		}
	}
	return nil
}

// collect returns the lines of all logs that name the request.
func (c *Command) collect() ([]line, error) {
	var found []line
	err := logfile.Each(c.Files, func(file, text string) {
		if logfile.Field(text, "request") != c.ID {
			return
		}
		time := logfile.Field(text, "time")
		if file != "" {
			text = file + ": " + text
		}
		found = append(found, line{time: time, order: len(found), text: text})
	})
	if err != nil || len(c.Files) == 0 {
		return found, err
	}
	slices.SortStableFunc(found, func(a, b line) int {
		if a.time != b.time {
			return strings.Compare(a.time, b.time)
		}
		return a.order - b.order
	})
	return found, nil
}

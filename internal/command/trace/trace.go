// Package trace implements the command that shows one request's events from the logs of
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

// Command prints the log lines of one request, ordered by time.
type Command struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes (default: standard input)."`
}

// line is a log line with its sort keys.
type line struct {
	time  string // RFC 3339; sorts correctly as text
	order int    // position among the lines found
	text  string
}

// Run prints the lines, or returns an error if there are none.
func (c *Command) Run(output io.Writer) error {
	found, err := c.collect()
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return fault.New(fault.Caller, "give the logs of all nodes; requests with a response are counted and not logged, and bursts of log lines are limited (event log.limited)",
			"no log line contains request %q", c.ID)
	}
	for _, each := range found {
		if _, err := fmt.Fprintln(output, each.text); err != nil {
			return err
		}
	}
	return nil
}

// collect returns the log lines that contain the request's id. Lines of files are sorted
// by time; lines of standard input keep their order.
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

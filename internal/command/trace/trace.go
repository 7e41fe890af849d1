// Package trace holds the command that follows one request through the logs of
// several nodes.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"sliphead/internal/fault"
)

// Command prints the lines of one request in the order of their time.
type Command struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of the nodes; none: standard input."`
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

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

// collect reads all logs.
func (c *Command) collect() ([]line, error) {
	var found []line
	if len(c.Files) == 0 {
		return c.matching(found, "", os.Stdin)
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.Settings, "name readable logs", "read %s", name)
		}
		found, err = c.matching(found, name, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(found, func(a, b line) int {
		if a.time != b.time {
			return strings.Compare(a.time, b.time)
		}
		return a.order - b.order
	})
	return found, nil
}

// matching appends the lines that name the request.
func (c *Command) matching(found []line, name string, log io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if field(text, "request") != c.ID {
			continue
		}
		if name != "" {
			text = name + ": " + text
		}
		found = append(found, line{time: field(scanner.Text(), "time"), order: len(found), text: text})
	}
	return found, fault.Wrap(scanner.Err(), fault.Settings, "name logs with lines of at most 1 MiB", "read %s", name)
}

// field returns the value of key=value within a line, "" if there is none.
func field(text, key string) string {
	for _, word := range strings.Fields(text) {
		if name, value, found := strings.Cut(word, "="); found && name == key {
			return value
		}
	}
	return ""
}

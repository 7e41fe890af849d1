// Package refusals implements the command that shows from the logs of all nodes which
// requests were refused, when and why. After an overload, start the analysis here.
package refusals

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"sliphead/internal/command/logfile"
	"sliphead/internal/fault"
)

// Command prints a row for each time span, route and cause.
type Command struct {
	Every time.Duration `default:"1s" help:"Length of a time span, at least 10ms."`
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes (default: standard input)."`
}

// minEvery is the minimum time span. Shorter spans would make the table unreadable.
const minEvery = 10 * time.Millisecond

// rowKey identifies the row that counts a refusal.
type rowKey struct {
	start        time.Time // start of the span
	route, cause string
}

// row collects the refusals of one span, route and cause.
type row struct {
	refused     int
	returned    int   // those that had been refused before; their callers do not retry once more
	offers      []int // number of nodes that each request was offered to
	retryDelays []int // milliseconds after which each caller was asked to retry
	durations   []int // milliseconds from the arrival of each request to its refusal
}

// Run reads the logs and prints the table.
func (c *Command) Run(output io.Writer) error {
	if c.Every < minEvery {
		return fault.New(fault.Caller, "give --every as 10ms or more", "the time span %s is too short", c.Every)
	}
	rows := map[rowKey]*row{}
	unparsed := 0
	err := logfile.Each(c.Files, func(_, line string) {
		if logfile.Field(line, "event") != "request.refused" || logfile.Field(line, "side") != "outbound" {
			return
		}
		at, err := time.Parse(time.RFC3339Nano, logfile.Field(line, "time"))
		if err != nil {
			unparsed++
			return
		}
		key := rowKey{at.Truncate(c.Every), logfile.Field(line, "route"), logfile.Field(line, "cause")}
		if rows[key] == nil {
			rows[key] = &row{}
		}
		rows[key].add(line)
	})
	if err != nil {
		return err
	}
	return print(output, rows, unparsed)
}

// add adds the refusal of a log line to the row.
func (r *row) add(line string) {
	r.refused++
	if logfile.Field(line, "returned") == "true" {
		r.returned++
	}
	r.offers = appendNumber(r.offers, line, "offers")
	r.retryDelays = appendNumber(r.retryDelays, line, "retry_after_ms")
	r.durations = appendNumber(r.durations, line, "held_ms")
}

// appendNumber appends the number in a field of the line, if the line has the field.
func appendNumber(numbers []int, line, key string) []int {
	number, err := strconv.Atoi(logfile.Field(line, key))
	if err != nil {
		return numbers
	}
	return append(numbers, number)
}

// print writes the rows ordered by time; within a span, rows with more refusals come
// first.
func print(output io.Writer, rows map[rowKey]*row, unparsed int) error {
	keys := make([]rowKey, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return cmp.Or(a.start.Compare(b.start), rows[b].refused-rows[a].refused, cmp.Compare(a.route, b.route), cmp.Compare(a.cause, b.cause))
	})
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "time\troute\tcause\trefused\treturned\toffers\tretry after ms\theld ms") // Flush returns the error
	for _, key := range keys {
		each := rows[key]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", key.start.UTC().Format("15:04:05.000"), orDash(key.route), key.cause,
			each.refused, each.returned, median(each.offers), median(each.retryDelays), median(each.durations))
	}
	if unparsed > 0 {
		_, _ = fmt.Fprintf(table, "lines skipped, their time can't be read: %d\n", unparsed)
	}
	return table.Flush()
}

// median returns the median as text, "-" for no numbers. It sorts numbers.
func median(numbers []int) string {
	if len(numbers) == 0 {
		return "-"
	}
	slices.Sort(numbers)
	return strconv.Itoa(numbers[len(numbers)/2])
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Package refusals holds the command that shows which requests callers were refused,
// when and why, from the logs of all nodes: where to look first after an overload.
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

// Command prints a row for each span of time, route and cause.
type Command struct {
	Every time.Duration `default:"1s" help:"The length of a span of time, 10ms at least."`
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Logs of the nodes; none: standard input."`
}

// leastEvery keeps a table readable.
const leastEvery = 10 * time.Millisecond

// rowKey says what is counted together.
type rowKey struct {
	from         time.Time // begin of the span
	route, cause string
}

// row is what is told of requests that were refused.
type row struct {
	refused  int
	returned int   // of them, refused before: their callers won't come back
	offers   []int // nodes that each was offered to
	waits    []int // milliseconds after which each was told to come back
	held     []int // milliseconds that each took
}

// Run implements the command.
func (c *Command) Run(output io.Writer) error {
	if c.Every < leastEvery {
		return fault.New(fault.Caller, "give --every as 10ms or more", "a span of %s is too short", c.Every)
	}
	rows := map[rowKey]*row{}
	unread := 0
	err := logfile.Each(c.Files, func(_, line string) {
		if logfile.Field(line, "event") != "request.refused" || logfile.Field(line, "side") != "outbound" {
			return
		}
		at, err := time.Parse(time.RFC3339Nano, logfile.Field(line, "time"))
		if err != nil {
			unread++
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
	return print(output, rows, unread)
}

// add takes one refusal in.
func (r *row) add(line string) {
	r.refused++
	if logfile.Field(line, "returned") == "true" {
		r.returned++
	}
	r.offers = appendNumber(r.offers, line, "offers")
	r.waits = appendNumber(r.waits, line, "retry_after_ms")
	r.held = appendNumber(r.held, line, "held_ms")
}

// appendNumber appends a field's number; a line may lack it.
func appendNumber(numbers []int, line, key string) []int {
	number, err := strconv.Atoi(logfile.Field(line, key))
	if err != nil {
		return numbers
	}
	return append(numbers, number)
}

// print writes the rows in the order of time, the most refusals of a span first.
func print(output io.Writer, rows map[rowKey]*row, unread int) error {
	keys := make([]rowKey, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return cmp.Or(a.from.Compare(b.from), rows[b].refused-rows[a].refused, cmp.Compare(a.route, b.route), cmp.Compare(a.cause, b.cause))
	})
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "time\troute\tcause\trefused\treturned\toffers\twait told ms\theld ms") // Flush tells the error
	for _, key := range keys {
		each := rows[key]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", key.from.UTC().Format("15:04:05.000"), orDash(key.route), key.cause,
			each.refused, each.returned, middle(each.offers), middle(each.waits), middle(each.held))
	}
	if unread > 0 {
		_, _ = fmt.Fprintf(table, "lines left out, their time can't be read: %d\n", unread)
	}
	return table.Flush()
}

// middle is the median, as text.
func middle(numbers []int) string {
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

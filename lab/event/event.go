// Package event formats and parses the lab's log lines. Each line is one event, as
// key=value pairs.
package event

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/apex/log"
)

// leadingKeys are the keys that come first on a line, in this order.
var leadingKeys = []string{"event", "name", "verdict"}

// Handler writes log entries as lines of key=value pairs. It is safe for concurrent use.
type Handler struct {
	mutex  sync.Mutex
	writer io.Writer
}

// NewHandler returns a handler that writes to writer.
func NewHandler(writer io.Writer) *Handler { return &Handler{writer: writer} }

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(entry *log.Entry) error {
	line := Format(entry.Fields)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, err := io.WriteString(h.writer, line+"\n")
	return err
}

// Format returns the fields as key=value pairs: event, name and verdict first, then
// the others, sorted by key.
func Format(fields log.Fields) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	pairs := make([]string, 0, len(keys))
	for _, key := range keys {
		pairs = append(pairs, key+"="+quote(fmt.Sprint(fields[key])))
	}
	return strings.Join(pairs, " ")
}

func compareKeys(a, b string) int {
	rankA, rankB := keyRank(a), keyRank(b)
	if rankA != rankB {
		return rankA - rankB
	}
	return strings.Compare(a, b)
}

func keyRank(key string) int {
	if rank := slices.Index(leadingKeys, key); rank >= 0 {
		return rank
	}
	return len(leadingKeys)
}

func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\t\r\n") {
		return strconv.Quote(value)
	}
	return value
}

// Parse parses a line of key=value pairs. Words without an equals sign are ignored.
func Parse(line string) map[string]string {
	fields := map[string]string{}
	rest := strings.TrimSpace(line)
	for rest != "" {
		var key, value string
		key, value, rest = nextPair(rest)
		if key != "" {
			fields[key] = value
		}
	}
	return fields
}

// nextPair splits the first pair off the line. A word without an equals sign is
// returned as a value with an empty key.
func nextPair(line string) (key, value, rest string) {
	end := strings.IndexAny(line, "= ")
	if end < 0 {
		return "", line, ""
	}
	if line[end] == ' ' {
		return "", line[:end], strings.TrimLeft(line[end:], " ")
	}
	key, rest = line[:end], line[end+1:]
	if quoted, err := strconv.QuotedPrefix(rest); err == nil && strings.HasPrefix(rest, `"`) {
		value, _ = strconv.Unquote(quoted)
		return key, value, strings.TrimLeft(rest[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, strings.TrimLeft(rest, " ")
}

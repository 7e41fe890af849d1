// Package logging writes one line of key=value pairs for each event, on top of
// apex/log. The event's fixed name is the entry's message.
package logging

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/apex/log"
)

// Fields are the key=value pairs of one event.
type Fields = log.Fields

// Handler writes entries as lines: time, level, event, then the fields sorted
// by name. It is safe for concurrent use; each line is one Write.
type Handler struct {
	mutex  sync.Mutex
	writer io.Writer
	line   []byte
}

// NewHandler returns a handler that writes to writer.
func NewHandler(writer io.Writer) *Handler { return &Handler{writer: writer} }

// New returns a logger that writes lines of at least the given level to writer.
func New(writer io.Writer, level log.Level) *log.Logger {
	return &log.Logger{Handler: NewHandler(writer), Level: level}
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return New(io.Discard, log.FatalLevel) }

// Event logs a named event of normal operation.
func Event(logger log.Interface, name string, fields Fields) {
	logger.WithFields(fields).Info(name)
}

// Problem logs a named event that may need an operator's action, with its cause.
func Problem(logger log.Interface, name string, cause error, fields Fields) {
	all := Fields{"error": cause}
	for key, value := range fields {
		all[key] = value
	}
	logger.WithFields(all).Warn(name)
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(entry *log.Entry) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.line = appendEntry(h.line[:0], entry)
	_, err := h.writer.Write(h.line)
	return err
}

// appendEntry appends the line of one entry, including the newline.
func appendEntry(line []byte, entry *log.Entry) []byte {
	line = appendPair(line, "time", entry.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	line = appendPair(line, "level", entry.Level.String())
	line = appendPair(line, "event", entry.Message)
	names := make([]string, 0, len(entry.Fields))
	for name := range entry.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line = appendPair(line, name, format(entry.Fields[name]))
	}
	line[len(line)-1] = '\n'
	return line
}

// appendPair appends key=value and a space.
func appendPair(line []byte, key, value string) []byte {
	line = append(line, cleanKey(key)...)
	line = append(line, '=')
	if needsQuotes(value) {
		line = strconv.AppendQuote(line, value)
	} else {
		line = append(line, value...)
	}
	return append(line, ' ')
}

// format returns the text of a field's value.
func format(value any) string {
	switch typed := value.(type) {
	case string:
		return typed
	case time.Time:
		return typed.UTC().Format(time.RFC3339Nano)
	case float64:
		return strconv.FormatFloat(typed, 'g', 6, 64)
	}
	return fmt.Sprint(value)
}

// needsQuotes reports whether a value must be quoted to be parsed as one token.
func needsQuotes(value string) bool {
	return value == "" || strings.ContainsFunc(value, breaksToken)
}

// breaksToken reports whether a character would end a token or make it ambiguous.
func breaksToken(character rune) bool {
	switch character {
	case ' ', '=', '"', '\\', unicode.ReplacementChar:
		return true
	}
	return !unicode.IsPrint(character)
}

// cleanKey replaces the characters that are not allowed in a key.
func cleanKey(key string) string {
	if !needsQuotes(key) {
		return key
	}
	if key == "" {
		return "_"
	}
	return strings.Map(func(character rune) rune {
		if breaksToken(character) {
			return '_'
		}
		return character
	}, key)
}

// Package logfile reads log files of nodes, which have one event per line in key=value
// pairs.
package logfile

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"

	"sliphead/internal/fault"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Each calls do with the file's name and the text of each line of the files, in order.
// Without files it reads standard input and passes an empty name.
func Each(files []string, do func(file, line string)) error {
	if len(files) == 0 {
		return scanLines("", os.Stdin, do)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.Settings, "give readable log files", "read %s", name)
		}
		err = scanLines(name, file, do)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return nil
}

func scanLines(name string, log io.Reader, do func(file, line string)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		do(name, scanner.Text())
	}
	return fault.Wrap(scanner.Err(), fault.Settings, "give logs with lines of at most 1 MiB", "read %s", name)
}

// Field returns the value of the first key=value pair with the given key in a line, ""
// if there is none. A quoted value is returned without its quotes, if it holds no blank.
func Field(line, key string) string {
	for word := range strings.FieldsSeq(line) {
		name, value, found := strings.Cut(word, "=")
		if !found || name != key {
			continue
		}
		if unquoted, err := strconv.Unquote(value); err == nil && value[0] == '"' {
			return unquoted
		}
		return value
	}
	return ""
}

// Package logfile reads the logs of nodes for commands: one event a line, as key=value
// pairs.
package logfile

import (
	"bufio"
	"io"
	"os"
	"strings"

	"sliphead/internal/fault"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Each calls do with each line of the files, one file after the other, and with the
// file's name; without files, with the lines of standard input and an empty name.
func Each(files []string, do func(file, line string)) error {
	if len(files) == 0 {
		return lines("", os.Stdin, do)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.Settings, "name readable logs", "read %s", name)
		}
		err = lines(name, file, do)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return nil
}

func lines(name string, log io.Reader, do func(file, line string)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		do(name, scanner.Text())
	}
	return fault.Wrap(scanner.Err(), fault.Settings, "name logs with lines of at most 1 MiB", "read %s", name)
}

// Field returns the value of key=value within a line, "" if there is none.
func Field(line, key string) string {
	for word := range strings.FieldsSeq(line) {
		if name, value, found := strings.Cut(word, "="); found && name == key {
			return value
		}
	}
	return ""
}

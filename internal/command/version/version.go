// Package version implements the command that tells from which sources the program was built.
package version

import (
	"fmt"
	"io"

	"sliphead/internal/build"
)

// Command prints what identifies the build.
type Command struct{}

// Run prints one line for each property, "name: value".
func (c *Command) Run(output io.Writer) error {
	info := build.Read()
	_, err := fmt.Fprintf(output, "version: %s\nrevision: %s\nmodified: %s\ngo: %s\nbuild: %s\n",
		info.Version, info.Revision, info.Modified, info.GoVersion, info.ID)
	return err
}

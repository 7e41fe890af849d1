// Package check implements the command that validates a directory of declarations.
package check

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// Command defines the arguments of "check DIR".
type Command struct {
	Directory string `arg:"" name:"dir" help:"Directory of declarations (*.yaml)." type:"existingdir"`
}

// Run prints each finding on a line, "file:line: what (remedy: …)", or a summary of
// the declarations if there are none. It returns an error when there are findings.
func (c *Command) Run(output io.Writer) error {
	document, findings, err := declaration.Load(os.DirFS(c.Directory))
	if err != nil {
		return err
	}
	for _, finding := range findings {
		if finding.File != "" {
			finding.File = filepath.Join(c.Directory, finding.File)
		}
		fmt.Fprintln(output, finding)
	}
	if len(findings) > 0 {
		return fault.New(fault.Declaration, "fix each finding and check again", "findings in %s: %d", c.Directory, len(findings))
	}
	fmt.Fprintf(output, "%s: valid: %d zones, %d services, %d workers, %d selectors, %d routes, %d secrets\n", c.Directory,
		len(document.Zones), len(document.Services), len(document.Workers),
		len(document.Selectors), len(document.Routes), len(document.Secrets))
	return nil
}

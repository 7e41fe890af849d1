package settings

import (
	"time"

	"github.com/goccy/go-yaml/ast"

	"sliphead/internal/fault"
)

// Duration is a time.Duration that is written with its unit, such as 50ms.
type Duration struct{ time.Duration }

// UnmarshalYAML parses a duration and rejects one without a unit.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	parsed, err := time.ParseDuration(text)
	if err != nil || node.Type() == ast.MappingType || node.Type() == ast.SequenceType {
		return lineError{
			line: node.GetToken().Position.Line,
			err:  fault.New(fault.Settings, "write a number with its unit, such as 50ms, 2s or 10m", "%q is not a duration", text),
		}
	}
	d.Duration = parsed
	return nil
}

// MarshalYAML writes a duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(d.String()), nil }

// lineError is an error with the line of the file where it occurred.
type lineError struct {
	line int
	err  error
}

// Error implements the error interface.
func (e lineError) Error() string { return e.err.Error() }

// Unwrap returns the error without its line.
func (e lineError) Unwrap() error { return e.err }

// Package load makes open-loop load: requests start at their intended times
// whether or not earlier ones have ended, and latency counts from the intended
// start, so that a stall of the system is not omitted from the figures.
package load

import (
	"strings"
	"time"
)

// Class is one kind of request.
type Class struct {
	Name          string            `yaml:"name" validate:"required"`
	Method        string            `yaml:"method" validate:"required"`
	Path          string            `yaml:"path" validate:"required"`
	Host          string            `yaml:"host"`
	RatePerSecond float64           `yaml:"ratePerSecond" validate:"gt=0"`
	BodyBytes     int               `yaml:"bodyBytes" validate:"min=0"`
	BodyMillis    int               `yaml:"bodyMillis" validate:"min=0"` // time over which the body is sent
	AnswerBytes   int               `yaml:"answerBytes" validate:"min=0"`
	RunMillis     float64           `yaml:"runMillis" validate:"min=0"` // time that the worker runs; its own setting when 0
	DeadlineMS    int               `yaml:"deadlineMs" validate:"min=0"`
	Calls         string            `yaml:"calls"`                        // paths of nested calls, comma-separated
	Direct        string            `yaml:"direct"`                       // service whose workers are called without any node, to compare with
	Keyed         bool              `yaml:"keyed"`                        // may run once: carries an Idempotency-Key
	Once          bool              `yaml:"once"`                         // each attempt may run once: the route is not repeatable
	Resubmissions int               `yaml:"resubmissions"`                // times that a caller asks again, each through the next edge
	Headers       map[string]string `yaml:"headers" validate:"omitempty"` // sent along
}

// standardDeadline bounds a request whose class sets none.
const standardDeadline = 10 * time.Second

func (c Class) deadline() time.Duration {
	if c.DeadlineMS == 0 {
		return standardDeadline
	}
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// Levels returns the depth of the class's call tree, 1 without nested calls.
func (c Class) Levels() int {
	if c.Calls == "" {
		return 1
	}
	return strings.Count(c.Calls, ",") + 2
}

// interval is the time between two intended starts.
func (c Class) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.RatePerSecond)
}

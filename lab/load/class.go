// Package load generates open-loop load: each request starts at its intended time,
// whether or not earlier ones have ended. Latency is measured from the intended
// start, so that the figures include the time of a stall of the system.
package load

import (
	"strings"
	"time"
)

// Class is a class of requests with the same properties and their rate.
type Class struct {
	Name          string            `yaml:"name" validate:"required"`
	Method        string            `yaml:"method" validate:"required"`
	Path          string            `yaml:"path" validate:"required"`
	Host          string            `yaml:"host"`
	RatePerSecond float64           `yaml:"ratePerSecond" validate:"gt=0"`
	BodyBytes     int               `yaml:"bodyBytes" validate:"min=0"`
	BodyMillis    int               `yaml:"bodyMillis" validate:"min=0"` // period over which the body is sent
	FillerBytes   int               `yaml:"answerBytes" validate:"min=0"`
	RunMillis     float64           `yaml:"runMillis" validate:"min=0"` // run time at the worker; the worker's setting when 0
	DeadlineMS    int               `yaml:"deadlineMs" validate:"min=0"`
	Calls         string            `yaml:"calls"`                        // paths of nested calls, comma-separated
	Direct        string            `yaml:"direct"`                       // service whose workers are called without nodes, as a baseline
	Keyed         bool              `yaml:"keyed"`                        // carries an Idempotency-Key, so that it may run only once
	Once          bool              `yaml:"once"`                         // each attempt may run only once: the route is not repeatable
	Resubmissions int               `yaml:"resubmissions"`                // maximum number of retries by the caller, each through the next edge node
	Headers       map[string]string `yaml:"headers" validate:"omitempty"` // further headers to send
}

// defaultDeadline is the deadline of a request whose class sets none.
const defaultDeadline = 10 * time.Second

func (c Class) deadline() time.Duration {
	if c.DeadlineMS == 0 {
		return defaultDeadline
	}
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// Levels returns the number of levels of the class's call tree, 1 without nested calls.
func (c Class) Levels() int {
	if c.Calls == "" {
		return 1
	}
	return strings.Count(c.Calls, ",") + 2
}

// interval returns the time between two intended starts at a factor of 1.
func (c Class) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.RatePerSecond)
}

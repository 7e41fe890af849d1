// Package declaration holds what operators write: labelled zones and workers,
// selectors with schedules, routes and the names of secrets. It is pure: it
// parses, validates and evaluates, and does no I/O of its own.
package declaration

// Document is one whole set of declarations, as the source serves it.
type Document struct {
	Epoch     uint64     `json:"epoch" yaml:"epoch"`
	Zones     []Zone     `json:"zones" yaml:"zones" validate:"required,dive"`
	Services  []Service  `json:"services" yaml:"services" validate:"required,dive"`
	Workers   []Worker   `json:"workers" yaml:"workers" validate:"dive"`
	Selectors []Selector `json:"selectors" yaml:"selectors" validate:"dive"`
	Routes    []Route    `json:"routes" yaml:"routes" validate:"dive"`
	Secrets   []Secret   `json:"secrets" yaml:"secrets" validate:"dive"`
}

// Labels are the operator's key and value pairs on a zone or worker.
type Labels map[string]string

// Zone is a failure domain.
type Zone struct {
	Name     string `json:"name" yaml:"name" validate:"required"`
	Region   string `json:"region" yaml:"region" validate:"required"`
	TimeZone string `json:"timeZone" yaml:"timeZone" validate:"required"` // IANA name
	Labels   Labels `json:"labels,omitempty" yaml:"labels"`
}

// Service is a group of workers that answer the same requests.
type Service struct {
	Name string `json:"name" yaml:"name" validate:"required"`
}

// Worker is one back end.
type Worker struct {
	Name        string `json:"name" yaml:"name" validate:"required"`
	Service     string `json:"service" yaml:"service" validate:"required"`
	Zone        string `json:"zone" yaml:"zone" validate:"required"`
	Slots       int    `json:"slots" yaml:"slots" validate:"min=1"`             // requests run at once
	Connections int    `json:"connections" yaml:"connections" validate:"min=1"` // open connections at most
	Labels      Labels `json:"labels,omitempty" yaml:"labels"`
}

// Selector says which labelled workers take traffic, and when. A worker is
// selected when its labels hold all of WorkerLabels, its zone's labels hold all
// of ZoneLabels, and a window is open (no windows: always open).
type Selector struct {
	Name         string   `json:"name" yaml:"name" validate:"required"`
	Service      string   `json:"service" yaml:"service" validate:"required"`
	WorkerLabels Labels   `json:"workerLabels,omitempty" yaml:"workerLabels"`
	ZoneLabels   Labels   `json:"zoneLabels,omitempty" yaml:"zoneLabels"`
	Windows      []Window `json:"windows,omitempty" yaml:"windows" validate:"dive"`
}

// Window is a span of local wall-clock time on some days of the week. A window
// whose end is not after its start crosses midnight and belongs to the day on
// which it starts.
type Window struct {
	Days     []string `json:"days,omitempty" yaml:"days"`                   // mon to sun; none means every day
	From     string   `json:"from" yaml:"from" validate:"required"`         // HH:MM, whole minute, included
	To       string   `json:"to" yaml:"to" validate:"required"`             // HH:MM, whole minute, excluded
	TimeZone string   `json:"timeZone,omitempty" yaml:"timeZone,omitempty"` // IANA name; none: the zone of each worker decides
}

// Priority is the class of a route's requests, first served first.
type Priority string

// The priority classes, in the order in which they are served.
const (
	PriorityInternal    Priority = "internal"    // service to service, such as price checks
	PriorityInteractive Priority = "interactive" // a person waits: counters, booking pages
	PriorityUpload      Priority = "upload"      // long bodies, such as artwork
	PriorityBatch       Priority = "batch"       // nobody waits, such as nightly reports
)

// Route sends matching requests to the workers that its selectors select.
type Route struct {
	Name       string   `json:"name" yaml:"name" validate:"required"`
	Host       string   `json:"host,omitempty" yaml:"host"`                                 // exact host name; none matches all
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix" validate:"required"`           // longest prefix wins
	Methods    []string `json:"methods,omitempty" yaml:"methods"`                           // none matches all
	Service    string   `json:"service" yaml:"service" validate:"required"`                 //
	Selectors  []string `json:"selectors" yaml:"selectors" validate:"required,min=1"`       // union of the workers selected
	Secret     string   `json:"secret,omitempty" yaml:"secret"`                             // credential presented to the worker
	Priority   Priority `json:"priority" yaml:"priority" validate:"required"`               //
	Repeatable bool     `json:"repeatable" yaml:"repeatable"`                               // whether it may run more than once
	DeadlineMS int64    `json:"deadlineMs" yaml:"deadlineMs" validate:"min=1,max=86400000"` // the longest a request may take
}

// Secret names a secret and the SHA-256 of its value in hexadecimal. The value
// itself is read apart and may arrive later.
type Secret struct {
	Name   string `json:"name" yaml:"name" validate:"required"`
	Digest string `json:"digest" yaml:"digest" validate:"required,len=64,hexadecimal"`
}

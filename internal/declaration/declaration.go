// Package declaration defines the configuration that operators write: labelled
// zones and workers, selectors with schedules, routes and the names of secrets.
// It parses, validates and evaluates documents. It opens no files of its own:
// Load reads through the fs.FS that it is given.
package declaration

// Document is a complete set of declarations, as the configuration service serves it.
type Document struct {
	Epoch     uint64     `json:"epoch" yaml:"epoch"`
	Zones     []Zone     `json:"zones" yaml:"zones" validate:"required,dive"`
	Services  []Service  `json:"services" yaml:"services" validate:"required,dive"`
	Workers   []Worker   `json:"workers" yaml:"workers" validate:"dive"`
	Selectors []Selector `json:"selectors" yaml:"selectors" validate:"dive"`
	Routes    []Route    `json:"routes" yaml:"routes" validate:"dive"`
	Secrets   []Secret   `json:"secrets" yaml:"secrets" validate:"dive"`
}

// Labels are the operator's key-value pairs on a zone or worker.
type Labels map[string]string

// Zone is a failure domain.
type Zone struct {
	Name     string `json:"name" yaml:"name" validate:"required"`
	Region   string `json:"region" yaml:"region" validate:"required"`
	TimeZone string `json:"timeZone" yaml:"timeZone" validate:"required"` // IANA name
	Labels   Labels `json:"labels,omitempty" yaml:"labels"`
}

// Service is a group of workers that serve the same requests.
type Service struct {
	Name string `json:"name" yaml:"name" validate:"required"`
}

// Worker is one back end.
type Worker struct {
	Name        string `json:"name" yaml:"name" validate:"required"`
	Service     string `json:"service" yaml:"service" validate:"required"`
	Zone        string `json:"zone" yaml:"zone" validate:"required"`
	Slots       int    `json:"slots" yaml:"slots" validate:"min=1"`             // maximum concurrent requests
	Connections int    `json:"connections" yaml:"connections" validate:"min=1"` // maximum open connections
	Labels      Labels `json:"labels,omitempty" yaml:"labels"`
}

// Selector selects the workers of a service that receive traffic. A worker is
// selected when its labels contain all of WorkerLabels, its zone's labels contain
// all of ZoneLabels, and one of Windows is open. Without windows the selector is
// always open.
type Selector struct {
	Name         string   `json:"name" yaml:"name" validate:"required"`
	Service      string   `json:"service" yaml:"service" validate:"required"`
	WorkerLabels Labels   `json:"workerLabels,omitempty" yaml:"workerLabels"`
	ZoneLabels   Labels   `json:"zoneLabels,omitempty" yaml:"zoneLabels"`
	Windows      []Window `json:"windows,omitempty" yaml:"windows" validate:"dive"`
}

// Window is a period of local wall-clock time on some days of the week. A window
// whose end is not after its start crosses midnight and belongs to the day on
// which it starts.
type Window struct {
	Days     []string `json:"days,omitempty" yaml:"days"`                   // mon to sun; empty: every day
	From     string   `json:"from" yaml:"from" validate:"required"`         // HH:MM, inclusive
	To       string   `json:"to" yaml:"to" validate:"required"`             // HH:MM, exclusive
	TimeZone string   `json:"timeZone,omitempty" yaml:"timeZone,omitempty"` // IANA name; empty: the time zone of each worker's zone
}

// Priority is the admission class of a route's requests.
type Priority string

// The priority classes, highest priority first.
const (
	PriorityInternal    Priority = "internal"    // service to service, such as price checks
	PriorityInteractive Priority = "interactive" // a user is waiting, such as at a shop counter or booking page
	PriorityUpload      Priority = "upload"      // long request bodies, such as artwork
	PriorityBatch       Priority = "batch"       // no user is waiting, such as nightly reports
)

// Route sends matching requests to the workers that its selectors select.
type Route struct {
	Name       string   `json:"name" yaml:"name" validate:"required"`
	Host       string   `json:"host,omitempty" yaml:"host"`                                 // exact host name; empty matches all
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix" validate:"required"`           // the route with the longest matching prefix is used
	Methods    []string `json:"methods,omitempty" yaml:"methods"`                           // empty matches all
	Service    string   `json:"service" yaml:"service" validate:"required"`                 // name of a Service
	Selectors  []string `json:"selectors" yaml:"selectors" validate:"required,min=1"`       // the route uses the union of the workers selected
	Secret     string   `json:"secret,omitempty" yaml:"secret"`                             // name of the Secret sent to the worker as credential
	Priority   Priority `json:"priority" yaml:"priority" validate:"required"`               // admission class
	Repeatable bool     `json:"repeatable" yaml:"repeatable"`                               // whether a request may be executed more than once
	DeadlineMS int64    `json:"deadlineMs" yaml:"deadlineMs" validate:"min=1,max=86400000"` // upper bound of a request's deadline
}

// Secret declares a secret by its name and the SHA-256 of its value in
// hexadecimal. The value is fetched separately and may arrive later.
type Secret struct {
	Name   string `json:"name" yaml:"name" validate:"required"`
	Digest string `json:"digest" yaml:"digest" validate:"required,len=64,hexadecimal"`
}

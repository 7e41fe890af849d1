// Package catalog holds what a node knows about the mesh if a linearizable store serves it: the
// configuration in force and the worker instances, each with the store revision of its last
// change. It is pure and independent of the store's format and of any transport.
package catalog

import (
	"time"
)

// Configuration is one complete version of the operator's routes.
type Configuration struct {
	Version  uint64             `json:"version"` // increases with each change, by varying steps
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	Tenants  []Tenant           `json:"tenants"` // nil: callers need no key
}

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name        string           `json:"name"`
	Host        string           `json:"host"`
	PathPrefix  string           `json:"pathPrefix"`            // begins and ends with a slash; the longest match wins
	Targets     []WeightedTarget `json:"targets"`               // at least one
	Repeatable  bool             `json:"repeatable,omitempty"`  // whether a request may run more than once
	Upload      bool             `json:"upload,omitempty"`      // whether bodies are large
	Priority    int              `json:"priority"`              // 0 is served first
	MaxAttempts int              `json:"maxAttempts,omitempty"` // workers that one request may be sent to; 0: one
	Timeout     time.Duration    `json:"timeout"`               // upper bound on the time that a request may take
	Target      time.Duration    `json:"target"`                // the latency objective; 0: none
	Regions     []string         `json:"regions,omitempty"`     // regions that its requests may not leave; empty: any region
	Public      bool             `json:"public,omitempty"`      // whether callers need no key although there are tenants
}

// WeightedTarget is a service that gets a share of a route's requests.
type WeightedTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service holds the operator's limits for the workers of a service.
type Service struct {
	MaxConnections int           `json:"maxConnections,omitempty"` // maximum of open connections to one worker; 0: the default
	HealthPath     string        `json:"healthPath,omitempty"`     // path on which a worker reports its health; "": it doesn't
	ColdStart      time.Duration `json:"coldStart,omitempty"`      // for how long a worker is cold after its start
	ColdPerSecond  float64       `json:"coldPerSecond,omitempty"`  // maximum rate of a cold worker, in requests per second; 0: unlimited
}

// Limits bound the size and duration of requests. A zero field leaves the limit of the settings
// in force.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64         `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout    time.Duration `json:"idleTimeout,omitempty"`
}

// Instance is a worker as recorded by itself in the store.
type Instance struct {
	ID            string        `json:"id"`             // of its record; a restarted worker may have the same
	StartedMs     int64         `json:"born,omitempty"` // start time in Unix milliseconds of the worker's clock; 0: unknown
	Service       string        `json:"service"`
	Address       string        `json:"address"` // host:port, reached only from the worker's own machine
	Zone          string        `json:"zone"`
	Capacity      int           `json:"capacity"`      // maximum of concurrent requests
	Draining      bool          `json:"draining"`      // takes no new requests
	ColdRemaining time.Duration `json:"coldRemaining"` // remaining cold start time when the record was written
}

// Evacuation states whether the workers of a zone get no requests.
type Evacuation struct {
	Zone  string `json:"zone"`
	Ended bool   `json:"ended,omitempty"` // whether the evacuation has been ended
}

// Change is one change of the store. Exactly one of Configuration, Difference, Instance,
// Evacuation and Removed is set.
type Change struct {
	Revision      uint64         `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Difference    *Difference    `json:"difference,omitempty"` // from a configuration that the receiver has
	Instance      *Instance      `json:"instance,omitempty"`
	Evacuation    *Evacuation    `json:"evacuation,omitempty"`
	Removed       string         `json:"removed,omitempty"` // id of an instance whose record was removed
}

// version returns the version of the changed configuration, 0 if the change has none.
func (c *Change) version() uint64 {
	switch {
	case c.Configuration != nil:
		return c.Configuration.Version
	case c.Difference != nil:
		return c.Difference.To
	default:
		return 0
	}
}

// Batch leads from one revision of the store to another. If Snapshot is set, it is a full
// snapshot; otherwise it contains the changes after From. All revisions are of one era.
type Batch struct {
	Era      uint64   `json:"era,omitempty"`
	From     uint64   `json:"from"`
	To       uint64   `json:"to"`
	Snapshot bool     `json:"whole,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// Point returns the point of the store that the batch leads to.
func (b *Batch) Point() Point { return Point{Era: b.Era, Revision: b.To} }

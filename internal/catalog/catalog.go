// Package catalog holds what a node knows of the mesh when a linearizable
// store serves it: the configuration in force and the worker instances, each
// with the store revision of its last change. It is pure and knows neither
// the store's format nor any transport.
package catalog

import (
	"time"
)

// Configuration is one version of the operator's routes, whole.
type Configuration struct {
	Version  uint64             `json:"version"` // rises with each change, by uneven steps
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	Tenants  []Tenant           `json:"tenants"` // nil: callers need no key
}

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name        string           `json:"name"`
	Host        string           `json:"host"`
	PathPrefix  string           `json:"pathPrefix"`            // begins and ends with a slash; the longest match wins
	Targets     []WeightedTarget `json:"targets"`               // at least one
	Repeatable  bool             `json:"repeatable,omitempty"`  // whether a request may run more than once
	Upload      bool             `json:"upload,omitempty"`      // whether bodies are large
	Priority    int              `json:"priority"`              // 0 is served first
	MaxAttempts int              `json:"maxAttempts,omitempty"` // workers that one request may be sent to; 0: one
	Timeout     time.Duration    `json:"timeout"`               // the longest that a request is held
	Target      time.Duration    `json:"target"`                // the latency objective; 0: none
	Regions     []string         `json:"regions,omitempty"`     // in which alone its requests may be; empty: in any
	Public      bool             `json:"public,omitempty"`      // whether callers need no key where there are tenants
}

// WeightedTarget is a service that takes a share of a route's requests.
type WeightedTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service holds the bounds that the operator sets for a service's workers.
type Service struct {
	MaxConnections int           `json:"maxConnections,omitempty"` // open connections to one worker at most; 0: the default
	HealthPath     string        `json:"healthPath,omitempty"`     // on which a worker tells of itself; "": it doesn't
	ColdStart      time.Duration `json:"coldStart,omitempty"`      // for how long a worker is cold after its start
	ColdPerSecond  float64       `json:"coldPerSecond,omitempty"`  // requests a second that a cold worker bears; 0: not bounded
}

// Limits bound what callers may send and how long they may take. Zero fields
// leave the settings' limits in force.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64         `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout    time.Duration `json:"idleTimeout,omitempty"`
}

// Instance is a worker, as it has recorded itself in the store.
type Instance struct {
	ID            string        `json:"id"`             // of its record: a worker that starts again may have the same
	Born          int64         `json:"born,omitempty"` // when it started, in Unix milliseconds of its clock; 0: not told
	Service       string        `json:"service"`
	Address       string        `json:"address"` // host:port, reached only from its own machine
	Zone          string        `json:"zone"`
	Capacity      int           `json:"capacity"`      // requests run at once
	Draining      bool          `json:"draining"`      // takes no new requests
	ColdRemaining time.Duration `json:"coldRemaining"` // how long it stays slow after its start, when it was written
}

// Evacuation says whether the workers of a zone are to be sent nothing.
type Evacuation struct {
	Zone  string `json:"zone"`
	Ended bool   `json:"ended,omitempty"` // whether it was taken back
}

// Change is one change of the store. Exactly one of Configuration, Difference,
// Instance, Evacuation and Removed is set.
type Change struct {
	Revision      uint64         `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Difference    *Difference    `json:"difference,omitempty"` // to the configuration that is held
	Instance      *Instance      `json:"instance,omitempty"`
	Evacuation    *Evacuation    `json:"evacuation,omitempty"`
	Removed       string         `json:"removed,omitempty"` // id of an instance whose record is gone
}

// version is that of the configuration which a change tells, 0 for none.
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

// Batch leads from one revision of the store to another. A whole batch states
// everything that there is; others hold the changes after From. All revisions are of one
// era.
type Batch struct {
	Era     uint64   `json:"era,omitempty"`
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Whole   bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// Point is the point of the store that a batch leads to.
func (b *Batch) Point() Point { return Point{Era: b.Era, Revision: b.To} }

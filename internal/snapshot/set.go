// Package snapshot holds a configuration version as an immutable set of
// resources, the differences between two sets, and what traffic reads: routes
// with their endpoints, resolved for one moment. It holds no sockets.
package snapshot

import (
	"encoding/json"

	"sliphead/internal/version"
)

// Kind is the kind of a resource.
type Kind string

// The kinds of resource. Document-wide fields, such as the epoch, are part of
// the version.
const (
	KindZone     Kind = "zone"
	KindService  Kind = "service"
	KindWorker   Kind = "worker"
	KindSelector Kind = "selector"
	KindRoute    Kind = "route"
	KindSecret   Kind = "secret"
)

// Key names a resource within a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Resource is one declared thing. Its body may be missing: a secret's value is
// read apart from the declaration that names it.
type Resource struct {
	Key
	Digest string          `json:"digest"` // SHA-256 of the body in hexadecimal
	Body   json.RawMessage `json:"body,omitempty"`
}

// Delta leads from one version to another. A delta from the zero version
// carries the whole set.
type Delta struct {
	From   version.Version `json:"from"`
	To     version.Version `json:"to"`
	Put    []Resource      `json:"put,omitempty"`
	Remove []Key           `json:"remove,omitempty"`
}

package snapshot

import (
	"encoding/json"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/version"
)

// Kind is the kind of a resource.
type Kind string

// The kinds of resource. The epoch is part of the version, not a resource.
const (
	KindZone     Kind = "zone"
	KindService  Kind = "service"
	KindWorker   Kind = "worker"
	KindSelector Kind = "selector"
	KindRoute    Kind = "route"
	KindSecret   Kind = "secret"
)

// Key identifies a resource within a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Resource is one declared item. Its body may be missing: the value of a secret is read
// separately from the declaration that names it.
type Resource struct {
	Key
	Digest string          `json:"digest"` // SHA-256 of the body in hexadecimal; for a secret, of its value
	Body   json.RawMessage `json:"body,omitempty"`
}

// Delta is the difference between two versions. A delta from the zero version contains the
// whole set.
type Delta struct {
	From   version.Version `json:"from"`
	To     version.Version `json:"to"`
	Put    []Resource      `json:"put,omitempty"`
	Remove []Key           `json:"remove,omitempty"`
}

// split returns the resources of a document. Secrets have no body yet.
func split(document *declaration.Document) ([]Resource, error) {
	var resources []Resource
	var failure error
	add := func(kind Kind, name string, value any) {
		body, err := json.Marshal(value)
		if err != nil {
			failure = fault.Wrap(err, fault.Internal, "report this defect", "encode %s %s", kind, name)
			return
		}
		resources = append(resources, Resource{Key: Key{Kind: kind, Name: name}, Digest: hashHex(body), Body: body})
	}
	for _, zone := range document.Zones {
		add(KindZone, zone.Name, zone)
	}
	for _, service := range document.Services {
		add(KindService, service.Name, service)
	}
	for _, worker := range document.Workers {
		add(KindWorker, worker.Name, worker)
	}
	for _, selector := range document.Selectors {
		add(KindSelector, selector.Name, selector)
	}
	for _, route := range document.Routes {
		add(KindRoute, route.Name, route)
	}
	for _, secret := range document.Secrets {
		resources = append(resources, Resource{Key: Key{Kind: KindSecret, Name: secret.Name}, Digest: secret.Digest})
	}
	return resources, failure
}

// secretResources returns resources for the given values of secrets that the document declares.
func secretResources(document *declaration.Document, values map[string]string) []Resource {
	var resources []Resource
	for _, secret := range document.Secrets {
		if value, given := values[secret.Name]; given {
			resources = append(resources, SecretResource(secret.Name, value))
		}
	}
	return resources
}

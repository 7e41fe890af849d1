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

// Key names a resource within a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Resource is one declared thing. Its body may be missing: a secret's value is
// read apart from the declaration that names it.
type Resource struct {
	Key
	Digest string          `json:"digest"` // SHA-256 in hexadecimal of the body, of the bare value for a secret
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

// split turns a document into resources. Secrets have no body yet.
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

// secretResources returns the given values that the document names.
func secretResources(document *declaration.Document, values map[string]string) []Resource {
	var resources []Resource
	for _, secret := range document.Secrets {
		if value, given := values[secret.Name]; given {
			resources = append(resources, SecretResource(secret.Name, value))
		}
	}
	return resources
}

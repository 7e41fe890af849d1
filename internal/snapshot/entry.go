package snapshot

import (
	"encoding/json"
	"slices"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// entry is a resource with its decoded body. Entries are immutable and shared by the sets of
// successive versions.
type entry struct {
	Resource
	value any  // pointer to the declared item; nil while the body is missing, except for a secret
	valid bool // whether the item satisfies the rules for single items
}

// newEntry checks a resource against its digest and decodes it.
func newEntry(resource Resource) (entry, error) {
	created := entry{Resource: resource}
	if resource.Kind == KindSecret {
		secret := declaration.Secret{Name: resource.Name, Digest: resource.Digest}
		created.value, created.valid = &secret, declaration.ValidItem(secret)
	}
	if resource.Body == nil {
		return created, nil
	}
	if !bodyMatches(resource, resource.Body) {
		return entry{}, fault.New(fault.Peer, "pull from another peer", "body of %s does not match its digest", resource.Key)
	}
	var err error
	switch resource.Kind {
	case KindSecret:
	case KindZone:
		created.value, created.valid, err = decode[declaration.Zone](resource)
	case KindService:
		created.value, created.valid, err = decode[declaration.Service](resource)
	case KindWorker:
		created.value, created.valid, err = decode[declaration.Worker](resource)
	case KindSelector:
		created.value, created.valid, err = decode[declaration.Selector](resource)
	case KindRoute:
		created.value, created.valid, err = decode[declaration.Route](resource)
	default:
		err = fault.New(fault.Peer, "run the same release on all nodes", "unknown kind of resource %q", resource.Kind)
	}
	return created, err
}

// newEntries returns the sorted entries of resources.
func newEntries(resources []Resource) ([]entry, error) {
	entries := make([]entry, 0, len(resources))
	for _, resource := range resources {
		created, err := newEntry(resource)
		if err != nil {
			return nil, err
		}
		entries = append(entries, created)
	}
	slices.SortFunc(entries, func(a, b entry) int { return a.Key.compare(b.Key) })
	return entries, nil
}

// decode decodes a body and checks the rules for single items.
func decode[T declaration.Item](resource Resource) (value any, valid bool, err error) {
	var item T
	if err := json.Unmarshal(resource.Body, &item); err != nil {
		return nil, false, fault.Wrap(err, fault.Peer, "pull from another peer", "decode %s", resource.Key)
	}
	return &item, declaration.ValidItem(item), nil
}

// addTo appends the declared item to a document.
func (e entry) addTo(document *declaration.Document) {
	switch item := e.value.(type) {
	case *declaration.Zone:
		document.Zones = append(document.Zones, *item)
	case *declaration.Service:
		document.Services = append(document.Services, *item)
	case *declaration.Worker:
		document.Workers = append(document.Workers, *item)
	case *declaration.Selector:
		document.Selectors = append(document.Selectors, *item)
	case *declaration.Route:
		document.Routes = append(document.Routes, *item)
	case *declaration.Secret:
		document.Secrets = append(document.Secrets, *item)
	}
}

// search returns the index of a key in sorted entries, or where to insert it.
func search(entries []entry, key Key) (index int, found bool) {
	return slices.BinarySearchFunc(entries, key, func(existing entry, wanted Key) int { return existing.Key.compare(wanted) })
}

package simulation

import (
	"fmt"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
)

const (
	service = "storefront"
	secret  = "press"
)

// declarationSet is one version of the declarations.
type declarationSet struct {
	withoutSecret *snapshot.Set // without the value of the secret
	complete      *snapshot.Set
	valid         bool // whether it passes validation
}

// set returns the set that the source shows, without the secret's value if that is late.
func (e *declarationSet) set(secretLate bool) *snapshot.Set {
	if secretLate {
		return e.withoutSecret
	}
	return e.complete
}

// declare returns declarations of an epoch and revision. Different variants have
// different contents, and invalid ones fail validation.
func (f *fleet) declare(epoch, revision uint64, variant string, valid bool) *declarationSet {
	value := fmt.Sprintf("value-%d%s", revision, variant)
	document := &declaration.Document{
		Epoch:     epoch,
		Services:  []declaration.Service{{Name: service}},
		Selectors: []declaration.Selector{{Name: "all", Service: service}},
		Secrets:   []declaration.Secret{{Name: secret, Digest: snapshot.SecretResource(secret, value).Digest}},
	}
	for _, n := range f.nodes {
		if n.index < 3 && n.zone == fmt.Sprintf("zone-%d", n.index) {
			document.Zones = append(document.Zones, declaration.Zone{Name: n.zone, Region: "region", TimeZone: "UTC"})
		}
		if n.worker != "" {
			document.Workers = append(document.Workers, declaration.Worker{
				Name: n.worker, Service: service, Zone: n.zone, Slots: 6, Connections: 130,
			})
		}
	}
	for index := range 2 + revision%3 {
		route := declaration.Route{
			Name: fmt.Sprintf("route-%d", index), PathPrefix: fmt.Sprintf("/r%d/%s%d", index, variant, revision),
			Service: service, Selectors: []string{"all"}, Priority: declaration.PriorityInteractive, DeadlineMS: 1000,
		}
		if index == 0 {
			route.Secret = secret
		}
		document.Routes = append(document.Routes, route)
	}
	if !valid {
		document.Routes[0].Service = "absent"
	}
	withoutSecret, err := snapshot.Build(document, revision, nil)
	must.NoError(f.t, err)
	complete, err := snapshot.Build(document, revision, map[string]string{secret: value})
	must.NoError(f.t, err)
	e := &declarationSet{withoutSecret: withoutSecret, complete: complete, valid: valid}
	must.Eq(f.t, valid, validate(complete) == nil)
	return e
}

// publish makes declarations visible to the given nodes when they read the source.
func (f *fleet) publish(e *declarationSet, nodes ...*node) {
	f.mutex.Lock()
	f.published[e.complete.Version()] = e
	f.mutex.Unlock()
	for _, n := range nodes {
		n.source = e
	}
}

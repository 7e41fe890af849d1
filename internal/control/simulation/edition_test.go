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

// edition is one version of the declarations.
type edition struct {
	without *snapshot.Set // the secret's value is not held yet
	whole   *snapshot.Set
	sound   bool // whether the validator takes it
}

func (e *edition) set(late bool) *snapshot.Set {
	if late {
		return e.without
	}
	return e.whole
}

// write makes an edition. Another variant is another content.
func (f *fleet) write(epoch, revision uint64, variant string, sound bool) *edition {
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
	if !sound {
		document.Routes[0].Service = "absent"
	}
	without, err := snapshot.Build(document, revision, nil)
	must.NoError(f.t, err)
	whole, err := snapshot.Build(document, revision, map[string]string{secret: value})
	must.NoError(f.t, err)
	e := &edition{without: without, whole: whole, sound: sound}
	must.Eq(f.t, sound, validate(whole) == nil)
	return e
}

// publish shows an edition to the readers among the given nodes.
func (f *fleet) publish(e *edition, nodes ...*node) {
	f.mutex.Lock()
	f.published[e.whole.Version()] = e
	f.mutex.Unlock()
	for _, n := range nodes {
		n.source = e
	}
}

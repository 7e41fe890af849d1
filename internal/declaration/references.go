package declaration

import (
	"slices"
	"strings"
)

const remedyDuplicate = "rename one of them or drop it"

// duplicates refuses two items of one list under one name.
func (v *validation) duplicates() {
	document := v.document
	findDuplicates(v, listZones, document.Zones)
	findDuplicates(v, listServices, document.Services)
	findDuplicates(v, listWorkers, document.Workers)
	findDuplicates(v, listSelectors, document.Selectors)
	findDuplicates(v, listRoutes, document.Routes)
	findDuplicates(v, listSecrets, document.Secrets)
}

func findDuplicates[T named](v *validation, of list, items []T) {
	seen := make(map[string]bool, len(items))
	for index, item := range items {
		if seen[item.name()] {
			v.add(place{list: of, index: index}, remedyDuplicate, "%s is declared twice", title(of, item))
		}
		seen[item.name()] = true
	}
}

// references refuses names of things that are not declared.
func (v *validation) references() {
	document := v.document
	zones := namesOf(document.Zones)
	services := namesOf(document.Services)
	secrets := namesOf(document.Secrets)
	for index, worker := range document.Workers {
		at := place{list: listWorkers, index: index}
		v.reference(at, worker, listServices, services, worker.Service)
		v.reference(at, worker, listZones, zones, worker.Zone)
	}
	for index, selector := range document.Selectors {
		v.reference(place{list: listSelectors, index: index}, selector, listServices, services, selector.Service)
	}
	for index, route := range document.Routes {
		at := place{list: listRoutes, index: index}
		v.reference(at, route, listServices, services, route.Service)
		if route.Secret != "" {
			v.reference(at, route, listSecrets, secrets, route.Secret)
		}
	}
	v.routeSelectors()
}

func (v *validation) reference(at place, from named, to list, declared map[string]bool, name string) {
	if name == "" || declared[name] {
		return // an empty name is a finding of its own
	}
	v.add(at, "declare it under "+string(to)+" or correct the name",
		"%s names %s %s, which is not declared", title(at.list, from), kinds[to], quoted(name))
}

// routeSelectors refuses selectors that are not declared or select workers of
// another service than the route's.
func (v *validation) routeSelectors() {
	serviceOf := make(map[string]string, len(v.document.Selectors))
	for _, selector := range v.document.Selectors {
		serviceOf[selector.Name] = selector.Service
	}
	declared := namesOf(v.document.Selectors)
	for index, route := range v.document.Routes {
		at := place{list: listRoutes, index: index}
		for _, name := range route.Selectors {
			v.reference(at, route, listSelectors, declared, name)
			if declared[name] && serviceOf[name] != route.Service {
				v.add(at, "name a selector of the route's own service",
					"%s of service %s names selector %s of service %s",
					title(listRoutes, route), quoted(route.Service), quoted(name), quoted(serviceOf[name]))
			}
		}
	}
}

// routeMatch is what tells routes apart, for one method.
type routeMatch struct{ host, prefix, method string }

// ambiguities refuses two routes that match the same requests equally well.
func (v *validation) ambiguities() {
	holder := make(map[routeMatch]string)
	anyMethod := make(map[routeMatch]string)
	for index, route := range v.document.Routes {
		at := place{list: listRoutes, index: index}
		for _, match := range matchesOf(route) {
			held, found := holder[match]
			if !found && match.method != "" {
				held, found = anyMethod[routeMatch{host: match.host, prefix: match.prefix}]
			}
			if found && held != route.Name {
				v.add(at, "give them different hosts, prefixes or methods",
					"routes %s and %s match the same requests", quoted(held), quoted(route.Name))
				break
			}
		}
		v.note(route, holder, anyMethod)
	}
}

// note remembers what a route matches. A route for some methods also stands in
// the way of a later one for all.
func (v *validation) note(route Route, holder, anyMethod map[routeMatch]string) {
	for _, match := range matchesOf(route) {
		holder[match] = route.Name
		if match.method == "" {
			anyMethod[match] = route.Name
			continue
		}
		holder[routeMatch{host: match.host, prefix: match.prefix}] = route.Name
	}
}

func matchesOf(route Route) []routeMatch {
	if len(route.Methods) == 0 {
		return []routeMatch{{host: route.Host, prefix: route.PathPrefix}}
	}
	matches := make([]routeMatch, 0, len(route.Methods))
	for _, method := range slices.Sorted(slices.Values(route.Methods)) {
		matches = append(matches, routeMatch{host: route.Host, prefix: route.PathPrefix, method: strings.ToUpper(method)})
	}
	return matches
}

func namesOf[T named](items []T) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[item.name()] = true
	}
	return names
}

package declaration

import (
	"slices"
	"strings"
)

const remedyDuplicate = "rename or remove one of them"

// checkDuplicates reports items of a list that have the same name.
func (v *validation) checkDuplicates() {
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
			v.add(itemRef{list: of, index: index}, remedyDuplicate, "%s is declared twice", describeItem(of, item))
		}
		seen[item.name()] = true
	}
}

// checkReferences reports names of services, zones, selectors and secrets that are not
// declared.
func (v *validation) checkReferences() {
	document := v.document
	zones := nameSet(document.Zones)
	services := nameSet(document.Services)
	secrets := nameSet(document.Secrets)
	for index, worker := range document.Workers {
		at := itemRef{list: listWorkers, index: index}
		v.checkReference(at, worker, listServices, services, worker.Service)
		v.checkReference(at, worker, listZones, zones, worker.Zone)
	}
	for index, selector := range document.Selectors {
		v.checkReference(itemRef{list: listSelectors, index: index}, selector, listServices, services, selector.Service)
	}
	for index, route := range document.Routes {
		at := itemRef{list: listRoutes, index: index}
		v.checkReference(at, route, listServices, services, route.Service)
		if route.Secret != "" {
			v.checkReference(at, route, listSecrets, secrets, route.Secret)
		}
	}
	v.checkRouteSelectors()
}

func (v *validation) checkReference(at itemRef, from named, to list, declared map[string]bool, name string) {
	if name == "" || declared[name] {
		return // an empty name is reported by the field rules
	}
	v.add(at, "declare it under "+string(to)+" or correct the name",
		"%s names %s %s, which is not declared", describeItem(at.list, from), itemKinds[to], quoted(name))
}

// checkRouteSelectors reports selectors of routes that are not declared or belong to
// another service than the route.
func (v *validation) checkRouteSelectors() {
	serviceOf := make(map[string]string, len(v.document.Selectors))
	for _, selector := range v.document.Selectors {
		serviceOf[selector.Name] = selector.Service
	}
	declared := nameSet(v.document.Selectors)
	for index, route := range v.document.Routes {
		at := itemRef{list: listRoutes, index: index}
		for _, name := range route.Selectors {
			v.checkReference(at, route, listSelectors, declared, name)
			if declared[name] && serviceOf[name] != route.Service {
				v.add(at, "name a selector of the route's own service",
					"%s of service %s names selector %s of service %s",
					describeItem(listRoutes, route), quoted(route.Service), quoted(name), quoted(serviceOf[name]))
			}
		}
	}
}

// routeMatch is the combination of host, path prefix and method that a route
// matches. An empty method stands for all methods.
type routeMatch struct{ host, prefix, method string }

// checkAmbiguities reports pairs of routes that match the same requests with the same
// precedence.
func (v *validation) checkAmbiguities() {
	routeByMatch := make(map[routeMatch]string)
	routeForAllMethods := make(map[routeMatch]string)
	for index, route := range v.document.Routes {
		at := itemRef{list: listRoutes, index: index}
		for _, match := range matchesOf(route) {
			other, found := routeByMatch[match]
			if !found && match.method != "" {
				other, found = routeForAllMethods[routeMatch{host: match.host, prefix: match.prefix}]
			}
			if found && other != route.Name {
				v.add(at, "give them different hosts, prefixes or methods",
					"routes %s and %s match the same requests", quoted(other), quoted(route.Name))
				break
			}
		}
		v.recordMatches(route, routeByMatch, routeForAllMethods)
	}
}

// recordMatches records the matches of a route. A route for specific methods is also
// recorded under the empty method, so that a later route for all methods conflicts
// with it.
func (v *validation) recordMatches(route Route, routeByMatch, routeForAllMethods map[routeMatch]string) {
	for _, match := range matchesOf(route) {
		routeByMatch[match] = route.Name
		if match.method == "" {
			routeForAllMethods[match] = route.Name
			continue
		}
		routeByMatch[routeMatch{host: match.host, prefix: match.prefix}] = route.Name
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

func nameSet[T named](items []T) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[item.name()] = true
	}
	return names
}

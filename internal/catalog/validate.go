package catalog

import (
	"strings"

	"sliphead/internal/fault"
)

// Validate checks a configuration. A bad one is refused whole: the error names
// the first defect and its remedy.
func (c *Configuration) Validate() error {
	names := make(map[string]bool, len(c.Routes))
	for index := range c.Routes {
		route := &c.Routes[index]
		if names[route.Name] {
			return fault.New(fault.Declaration, "give each route a name of its own", "two routes are named %q", route.Name)
		}
		names[route.Name] = true
		if err := c.validateRoute(route); err != nil {
			return err
		}
	}
	return c.validateTenants()
}

func (c *Configuration) validateRoute(route *Route) error {
	switch {
	case route.Name == "" || route.Host == "":
		return fault.New(fault.Declaration, "give the route a name and a host", "route %q has host %q", route.Name, route.Host)
	case !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/"):
		return fault.New(fault.Declaration, "begin and end the prefix with a slash", "route %q has prefix %q", route.Name, route.PathPrefix)
	case route.Timeout <= 0:
		return fault.New(fault.Declaration, "give the route a time-out above zero", "route %q has time-out %s", route.Name, route.Timeout)
	case len(route.Targets) == 0:
		return fault.New(fault.Declaration, "name a service for the route", "route %q goes nowhere", route.Name)
	}
	total := 0
	for _, target := range route.Targets {
		if _, known := c.Services[target.Service]; !known {
			return fault.New(fault.Declaration, "declare the service or correct the route", "route %q names service %q, which is not declared", route.Name, target.Service)
		}
		if target.Weight < 0 {
			return fault.New(fault.Declaration, "give weights of zero or more", "route %q has weight %d", route.Name, target.Weight)
		}
		total += target.Weight
	}
	if total == 0 {
		return fault.New(fault.Declaration, "give one of the route's services a weight", "route %q has no weight", route.Name)
	}
	return nil
}

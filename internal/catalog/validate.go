package catalog

import (
	"net/netip"
	"strings"
	"time"

	"sliphead/internal/ascii"
	"sliphead/internal/fault"
)

// Validate returns an error for the first defect of the configuration, with its remedy. A
// configuration with a defect is rejected as a whole.
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
		return fault.New(fault.Declaration, "give the route a timeout above zero", "route %q has timeout %s", route.Name, route.Timeout)
	case len(route.Targets) == 0:
		return fault.New(fault.Declaration, "give the route at least one target service", "route %q has no targets", route.Name)
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

// Bounds of a worker's record. The store accepts keys of up to 200 bytes; the other bounds are
// far above the values of real workers.
const (
	maxIDLength      = 200
	maxCapacity      = 1 << 16
	maxColdRemaining = 24 * time.Hour
)

// Validate checks a worker's record, since other writers may have written or overwritten it.
func (i *Instance) Validate() error {
	const remedy = "find out who writes to the store beside the workers"
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case !validID(i.ID):
		return fault.New(fault.Source, remedy, "a record has the id %.50q", i.ID)
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return fault.New(fault.Source, remedy, "the record of %q has address %.50q", i.ID, i.Address)
	case i.Service == "" || i.Zone == "":
		return fault.New(fault.Source, remedy, "the record of %q has service %.50q and zone %.50q", i.ID, i.Service, i.Zone)
	case i.Capacity < 1 || i.Capacity > maxCapacity:
		return fault.New(fault.Source, remedy, "the record of %q has capacity %d", i.ID, i.Capacity)
	case i.ColdRemaining < 0 || i.ColdRemaining > maxColdRemaining:
		return fault.New(fault.Source, remedy, "the record of %q is cold for %s", i.ID, i.ColdRemaining)
	case i.StartedMs < 0:
		return fault.New(fault.Source, remedy, "the record of %q has start time %d", i.ID, i.StartedMs)
	}
	return nil
}

// validID reports whether an id can be sent to the worker in a header without escaping.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && ascii.IsVisible(id)
}

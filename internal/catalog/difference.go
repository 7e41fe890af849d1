package catalog

import "slices"

// Difference leads from one version of the configuration to a later one, so that changing one
// route does not transfer all the others.
type Difference struct {
	From     uint64             `json:"from"` // version
	To       uint64             `json:"to"`
	Put      []Route            `json:"put,omitempty"`
	Remove   []string           `json:"remove,omitempty"` // names of routes
	Services map[string]Service `json:"services"`         // nil: unchanged
	Limits   Limits             `json:"limits"`
	Tenants  *TenantChange      `json:"tenants,omitempty"` // nil: unchanged
}

// newDifference returns the difference between two configurations.
func newDifference(from, to *Configuration) *Difference {
	difference := &Difference{From: from.Version, To: to.Version, Limits: to.Limits}
	before := make(map[string]*Route, len(from.Routes))
	for index := range from.Routes {
		before[from.Routes[index].Name] = &from.Routes[index]
	}
	for index := range to.Routes {
		route := &to.Routes[index]
		if previous := before[route.Name]; previous == nil || !previous.equals(route) {
			difference.Put = append(difference.Put, *route)
		}
		delete(before, route.Name)
	}
	for name := range before {
		difference.Remove = append(difference.Remove, name)
	}
	slices.Sort(difference.Remove)
	if !equalServices(from.Services, to.Services) {
		difference.Services = to.Services
	}
	difference.Tenants = newTenantChange(from.Tenants, to.Tenants)
	return difference
}

func (r *Route) equals(other *Route) bool {
	return slices.Equal(r.Targets, other.Targets) && slices.Equal(r.Regions, other.Regions) && r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix &&
		r.Repeatable == other.Repeatable && r.Upload == other.Upload && r.Public == other.Public && r.Priority == other.Priority &&
		r.MaxAttempts == other.MaxAttempts && r.Timeout == other.Timeout && r.Target == other.Target
}

func equalServices(from, to map[string]Service) bool {
	if len(from) != len(to) {
		return false
	}
	for name, service := range to {
		if current, known := from[name]; !known || current != service {
			return false
		}
	}
	return true
}

// applyTo returns the configuration that the difference leads to, nil if the difference starts
// from another version.
func (d *Difference) applyTo(from *Configuration) *Configuration {
	if from == nil || from.Version != d.From {
		return nil
	}
	to := &Configuration{Version: d.To, Services: from.Services, Limits: d.Limits, Tenants: d.Tenants.applyTo(from.Tenants)}
	if d.Services != nil {
		to.Services = d.Services
	}
	put := make(map[string]Route, len(d.Put))
	for _, route := range d.Put {
		put[route.Name] = route
	}
	for _, route := range from.Routes {
		changed, replaced := put[route.Name]
		switch {
		case slices.Contains(d.Remove, route.Name):
		case replaced:
			to.Routes = append(to.Routes, changed)
			delete(put, route.Name)
		default:
			to.Routes = append(to.Routes, route)
		}
	}
	for _, route := range d.Put {
		if _, added := put[route.Name]; added {
			to.Routes = append(to.Routes, route)
		}
	}
	return to
}

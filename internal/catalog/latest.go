package catalog

// latestByAddress returns the records that count, by address: those without a conflict and of a
// declared service.
func (s *State) latestByAddress() map[string]record {
	return latestRecords(s.instances, func(instance *Instance) bool {
		return !s.conflicts.hasInstance(instance.ID) && s.isDeclared(instance.Service)
	})
}

// isDeclared reports whether the configuration has a service. It returns true if the
// configuration is unknown or lists no services.
func (s *State) isDeclared(service string) bool {
	if s.configuration == nil || len(s.configuration.Services) == 0 {
		return true
	}
	_, declared := s.configuration.Services[service]
	return declared
}

// latestRecords returns, for each address, the last written of the records that count. The others
// belong to workers that ended without removing their records.
func latestRecords(records map[string]record, counts func(*Instance) bool) map[string]record {
	latest := make(map[string]record, len(records))
	for _, candidate := range records {
		if !counts(&candidate.instance) {
			continue
		}
		if other, known := latest[candidate.instance.Address]; !known || candidate.revision > other.revision {
			latest[candidate.instance.Address] = candidate
		}
	}
	return latest
}

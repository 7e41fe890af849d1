package catalog

// latest returns the records that count, by address.
func (s *State) latest() map[string]record {
	return latestOf(s.instances, func(held *Instance) bool { return !s.doubts.instance(held.ID) && s.declares(held.Service) })
}

// declares reports whether the configuration knows a service, as far as can be told.
func (s *State) declares(service string) bool {
	if s.configuration == nil || len(s.configuration.Services) == 0 {
		return true
	}
	_, declared := s.configuration.Services[service]
	return declared
}

// latestOf returns of the records at each address that count the one that was written last:
// the others have ended without a word, and their records are still to be removed.
func latestOf(records map[string]record, counts func(*Instance) bool) map[string]record {
	latest := make(map[string]record, len(records))
	for _, held := range records {
		if !counts(&held.instance) {
			continue
		}
		if other, known := latest[held.instance.Address]; !known || held.revision > other.revision {
			latest[held.instance.Address] = held
		}
	}
	return latest
}

package catalog

import "slices"

// applyEvacuation applies the start or end of a zone's evacuation. It reports whether that
// changes the evacuated zones.
func (s *State) applyEvacuation(change Change) bool {
	zone := change.Evacuation.Zone
	before := s.isEvacuated(zone)
	s.evacuations[zone] = evacuation{Evacuation: *change.Evacuation, revision: change.Revision}
	delete(s.conflicts.evacuations, zone)
	return s.isEvacuated(zone) != before
}

// isEvacuated reports whether a zone's workers get no requests.
func (s *State) isEvacuated(zone string) bool {
	if before, inConflict := s.conflicts.evacuations[zone]; inConflict {
		return before
	}
	current, known := s.evacuations[zone]
	return known && !current.Ended
}

// Evacuated returns the zones whose workers get no requests, sorted.
func (s *State) Evacuated() []string {
	var zones []string
	for zone := range s.evacuations {
		if s.isEvacuated(zone) {
			zones = append(zones, zone)
		}
	}
	for zone, evacuated := range s.conflicts.evacuations {
		if _, present := s.evacuations[zone]; evacuated && !present {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

package catalog

import "slices"

// evacuate takes in whether a zone is evacuated.
func (s *State) evacuate(change Change) bool {
	zone := change.Evacuation.Zone
	before := s.isEvacuated(zone)
	s.evacuations[zone] = evacuation{Evacuation: *change.Evacuation, revision: change.Revision}
	delete(s.doubts.evacuations, zone)
	return s.isEvacuated(zone) != before
}

// isEvacuated reports whether a zone's workers are to be sent nothing.
func (s *State) isEvacuated(zone string) bool {
	if before, doubted := s.doubts.evacuations[zone]; doubted {
		return before
	}
	told, known := s.evacuations[zone]
	return known && !told.Ended
}

// Evacuated returns the zones whose workers are to be sent nothing, sorted.
func (s *State) Evacuated() []string {
	var zones []string
	for zone := range s.evacuations {
		if s.isEvacuated(zone) {
			zones = append(zones, zone)
		}
	}
	for zone, evacuated := range s.doubts.evacuations {
		if _, told := s.evacuations[zone]; evacuated && !told {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

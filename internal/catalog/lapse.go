package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// maxLapsed bounds the instances that are tracked after their records have expired.
const maxLapsed = 256

// Lapsed returns the instances whose records were removed although the instance had not announced
// that it leaves, sorted by id. They may still run, since a worker that can't reach the store
// can't renew its record. An instance whose address another instance has recorded since is left
// out.
func (s *State) Lapsed() []Instance {
	if len(s.lapsed) == 0 {
		return nil
	}
	taken := make(map[string]bool, len(s.instances))
	for id, record := range s.instances {
		if !s.conflicts.hasInstance(id) {
			taken[record.instance.Address] = true
		}
	}
	lapsed := make([]Instance, 0, len(s.lapsed))
	for _, instance := range s.lapsed {
		if !taken[instance.Address] {
			lapsed = append(lapsed, instance)
		}
	}
	slices.SortFunc(lapsed, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return lapsed
}

// LapsedIDs returns the ids of all instances whose records were removed although the instance had not
// announced that it leaves, also of those that Lapsed leaves out, sorted.
func (s *State) LapsedIDs() []string { return slices.Sorted(maps.Keys(s.lapsed)) }

// ForgetLapsed drops an instance from Lapsed.
func (s *State) ForgetLapsed(id string) { delete(s.lapsed, id) }

// addLapsed tracks an instance whose record was removed, unless it had announced that it leaves.
func (s *State) addLapsed(instance Instance) {
	if instance.Draining || len(s.lapsed) >= maxLapsed {
		return
	}
	s.lapsed[instance.ID] = instance
}

// addMissingToLapsed calls addLapsed for all earlier records that a new snapshot lacks or that
// are in conflict. Outside a restore, these incarnations count as ended.
func (s *State) addMissingToLapsed(latest map[string]record, restored bool) {
	for _, candidate := range latest {
		if _, present := s.instances[candidate.instance.ID]; present && !s.conflicts.hasInstance(candidate.instance.ID) {
			continue
		}
		s.addLapsed(candidate.instance)
		if !restored {
			s.departures.record(&candidate.instance)
		}
	}
}

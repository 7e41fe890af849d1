package catalog

import (
	"cmp"
	"slices"
)

// maxLapsed bounds the instances that are remembered after their records are gone.
const maxLapsed = 256

// Lapsed returns the instances whose records are gone without a word of leaving,
// sorted by id. They may live: a worker that can't reach the store can't renew its
// record. One whose address another instance has since recorded is gone.
func (s *State) Lapsed() []Instance {
	if len(s.lapsed) == 0 {
		return nil
	}
	taken := make(map[string]bool, len(s.instances))
	for id, held := range s.instances {
		if !s.doubts.instance(id) {
			taken[held.instance.Address] = true
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

// ForgetLapsed takes an instance for gone.
func (s *State) ForgetLapsed(id string) { delete(s.lapsed, id) }

// lapse remembers an instance whose record is gone. One that had said that it
// leaves has left.
func (s *State) lapse(gone Instance) {
	if gone.Draining || len(s.lapsed) >= maxLapsed {
		return
	}
	s.lapsed[gone.ID] = gone
}

// lapseMissing does so for all that a new whole lacks, or tells against better knowledge.
// What had been replaced at its address had ended.
func (s *State) lapseMissing(latest map[string]record, restored bool) {
	for _, held := range latest {
		if _, present := s.instances[held.instance.ID]; present && !s.doubts.instance(held.instance.ID) {
			continue
		}
		s.lapse(held.instance)
		if !restored {
			s.departures.note(&held.instance)
		}
	}
}

package catalog

import "maps"

// A store that is restored from a backup some seconds old lacks the writes acknowledged since,
// until the operator and the workers write them again. A node that knew these writes keeps them:
// an older configuration is never applied, and a worker that had announced that it leaves stays
// leaving. In other cases the backup may be right: a worker whose record was removed may have
// written it again, and an operator may have changed an evacuation while nobody could read it.
// Such contradictions are tracked as conflicts, in which the earlier state takes precedence,
// until the item is written again or Settle is called. Settle applies the contents of the store.

// conflicts are contradictions between a restored backup and what was known before.
type conflicts struct {
	instances   map[string]struct{} // by id: records that had been removed or replaced and are in the backup
	evacuations map[string]bool     // by zone: whether it was evacuated before, if the backup says otherwise
}

func newConflicts() conflicts {
	return conflicts{instances: map[string]struct{}{}, evacuations: map[string]bool{}}
}

func (c *conflicts) hasInstance(id string) bool {
	_, present := c.instances[id]
	return present
}

// priorState is the state before a snapshot is applied.
type priorState struct {
	instances map[string]record // by id
	latest    map[string]record // those of them that counted, by address
	lapsed    map[string]Instance
	evacuated map[string]bool // by zone, ended evacuations included
}

func (s *State) priorState() priorState {
	prior := priorState{instances: s.instances, latest: s.latestByAddress(), lapsed: maps.Clone(s.lapsed), evacuated: map[string]bool{}}
	for zone, zoneState := range s.evacuations {
		prior.evacuated[zone] = !zoneState.Ended
	}
	maps.Copy(prior.evacuated, s.conflicts.evacuations)
	return prior
}

// resurrectedRecords returns the ids of those records in a backup that are known to have been
// removed or replaced later.
func (s *State) resurrectedRecords(changes []Change, prior priorState) map[string]struct{} {
	resurrected := map[string]struct{}{}
	for _, change := range changes {
		instance := change.Instance
		if instance == nil || s.departures.isLeaving(instance) {
			continue
		}
		before, recorded := prior.instances[instance.ID]
		replaced := recorded && before.instance == *instance && prior.latest[instance.Address].instance != *instance
		if replaced || s.departures.contains(instance) {
			resurrected[instance.ID] = struct{}{}
		}
	}
	return resurrected
}

// recordConflicts records the contradictions between the prior state and a backup that has been
// applied.
func (s *State) recordConflicts(resurrected map[string]struct{}, prior priorState) {
	s.conflicts.instances = resurrected
	for id := range resurrected {
		instance := s.instances[id].instance
		s.departures.record(&instance)
		if lapsed, wasLapsed := prior.lapsed[id]; wasLapsed {
			s.lapsed[id] = lapsed
		}
	}
	for zone, evacuated := range prior.evacuated {
		current, present := s.evacuations[zone]
		if evacuated != (present && !current.Ended) {
			s.conflicts.evacuations[zone] = evacuated
		}
	}
}

// Doubted returns the number of records and evacuation orders of a restored backup that are not
// applied yet because they contradict what was known before.
func (s *State) Doubted() int { return len(s.conflicts.instances) + len(s.conflicts.evacuations) }

// Settle resolves all conflicts in favor of the store. It reports whether there were any.
func (s *State) Settle() bool {
	changed := s.Doubted() > 0
	for id := range s.conflicts.instances {
		instance := s.instances[id].instance
		s.departures.remove(&instance)
		delete(s.lapsed, id)
	}
	s.conflicts = newConflicts()
	return changed
}

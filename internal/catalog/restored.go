package catalog

import "maps"

// A store that comes back from a copy some seconds old has lost what it acknowledged since,
// until the operator and the workers write it again. A node that knew it goes on by what it
// knew: an older configuration is not taken, and a worker that had said it leaves stays
// left, both for good. Of the rest the copy may be right: a worker whose record was gone may
// have written it again, and an operator may have changed an order while nobody could read
// it. So that is doubted until it is written anew, or until Settle is called, when whatever
// is still missing counts as gone.

// doubts are what the copy says against what was known.
type doubts struct {
	instances   map[string]struct{} // by id: whose records were gone or replaced, and are there again
	evacuations map[string]bool     // by zone: whether it was known to be evacuated, when the copy says otherwise
}

func newDoubts() doubts {
	return doubts{instances: map[string]struct{}{}, evacuations: map[string]bool{}}
}

func (d *doubts) instance(id string) bool {
	_, doubted := d.instances[id]
	return doubted
}

// knowledge is what was known before a whole.
type knowledge struct {
	instances map[string]record // by id
	latest    map[string]record // of them those that counted, by address
	lapsed    map[string]Instance
	evacuated map[string]bool // by zone, those that were taken back included
}

func (s *State) knowledge() knowledge {
	known := knowledge{instances: s.instances, latest: s.latest(), lapsed: maps.Clone(s.lapsed), evacuated: map[string]bool{}}
	for zone, held := range s.evacuations {
		known.evacuated[zone] = !held.Ended
	}
	maps.Copy(known.evacuated, s.doubts.evacuations)
	return known
}

// returned returns the ids of a copy's records that are known to have been gone or replaced
// when the copy was older.
func (s *State) returned(changes []Change, known knowledge) map[string]struct{} {
	returned := map[string]struct{}{}
	for _, change := range changes {
		instance := change.Instance
		if instance == nil || s.departures.left(instance) {
			continue
		}
		before, recorded := known.instances[instance.ID]
		replaced := recorded && before.instance == *instance && known.latest[instance.Address].instance != *instance
		if replaced || s.departures.ended(instance) {
			returned[instance.ID] = struct{}{}
		}
	}
	return returned
}

// doubt notes what a copy, which has been taken in, says against what was known.
func (s *State) doubt(returned map[string]struct{}, known knowledge) {
	s.doubts.instances = returned
	for id := range returned {
		instance := s.instances[id].instance
		s.departures.note(&instance)
		if lapsed, held := known.lapsed[id]; held {
			s.lapsed[id] = lapsed
		}
	}
	for zone, evacuated := range known.evacuated {
		told, present := s.evacuations[zone]
		if evacuated != (present && !told.Ended) {
			s.doubts.evacuations[zone] = evacuated
		}
	}
}

// Doubted returns how many records and orders of a copy are not followed yet, since what
// was known before speaks against them.
func (s *State) Doubted() int { return len(s.doubts.instances) + len(s.doubts.evacuations) }

// Settle takes for true what the store says, where what was known before its return spoke
// against it. It reports whether that changes anything.
func (s *State) Settle() bool {
	changed := s.Doubted() > 0
	for id := range s.doubts.instances {
		instance := s.instances[id].instance
		s.departures.forget(&instance)
		delete(s.lapsed, id)
	}
	s.doubts = newDoubts()
	return changed
}

package catalog

import (
	"cmp"
	"slices"
)

// maxFormer bounds the configurations that are kept to tell differences from.
const maxFormer = 8

// maxRemoved bounds the removals that are remembered for peers that are behind.
const maxRemoved = 1024

// State joins batches. Knowledge only grows: a batch that is older than what
// is held, by its Point, changes nothing. It is not safe for use by several goroutines.
type State struct {
	point         Point  // of the store that is known whole; all revisions here are of its era
	floor         uint64 // changes after this one are known one by one
	configuration *Configuration
	configuredAt  uint64           // revision since when the store has the configuration, as far as is known
	former        []*Configuration // those before it, oldest first
	instances     map[string]record
	evacuations   map[string]evacuation // by zone, those that were taken back included
	removed       []removal             // oldest first
	lapsed        map[string]Instance   // by id: those whose records are gone without a word of leaving
	departures    departures
	doubts        doubts
}

type record struct {
	instance Instance
	revision uint64
}

type evacuation struct {
	Evacuation
	revision uint64
}

type removal struct {
	id       string
	revision uint64
}

// NewState returns the state of a node that knows nothing.
func NewState() *State {
	return &State{
		instances: map[string]record{}, evacuations: map[string]evacuation{}, lapsed: map[string]Instance{},
		departures: newDepartures(), doubts: newDoubts(),
	}
}

// Revision returns the store's revision up to which everything is known, 0
// when nothing is. It falls when the store comes back from a copy.
func (s *State) Revision() uint64 { return s.point.Revision }

// Point returns the store's point up to which everything is known.
func (s *State) Point() Point { return s.point }

// Configuration returns the newest configuration, nil when none is known. It
// must not be changed.
func (s *State) Configuration() *Configuration { return s.configuration }

// Instances returns the recorded instances, sorted by id. Of several at one address only
// one counts, see latestOf. Those that a copy of the store tells against better knowledge
// are left out, and those of services that the configuration doesn't know: no worker need
// have written them, and none is to be hidden by them.
func (s *State) Instances() []Instance {
	latest := s.latest()
	instances := make([]Instance, 0, len(latest))
	for _, held := range latest {
		instances = append(instances, held.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Join takes a batch in. It reports whether the batch could be used, and
// whether it changed anything: a batch that starts after what is known leaves a
// gap and can't be used. Neither can changes of a later era, however well their
// revisions fit: what lies before them is not what is known.
func (s *State) Join(batch Batch) (usable, changed bool) {
	if batch.Era < s.point.Era {
		return true, false
	}
	if batch.Whole {
		return s.joinWhole(batch)
	}
	if batch.Era > s.point.Era || batch.From > s.point.Revision || s.point.Revision == 0 {
		return false, false
	}
	for _, change := range batch.Changes {
		if s.holds(change) {
			continue
		}
		if !s.resolve(&change) {
			return false, changed
		}
		if s.apply(change) {
			changed = true
		}
	}
	s.point.Revision = max(s.point.Revision, batch.To)
	return true, changed
}

// holds reports whether a change is known. A version may be newer than what is held though
// its revision is not: a peer held it before the store came back from a copy.
func (s *State) holds(change Change) bool {
	return change.Revision <= s.point.Revision && change.version() <= s.Position().Version
}

// joinWhole replaces what is known by a newer whole. One without a configuration leaves
// the one that is held. It can't be used when its configuration is told as the difference
// to another one than is held.
func (s *State) joinWhole(batch Batch) (usable, changed bool) {
	if batch.Point().Compare(s.point) <= 0 {
		return true, false
	}
	changes := slices.Clone(batch.Changes)
	for index := range changes {
		if !s.resolve(&changes[index]) {
			return false, false
		}
	}
	restored := s.point.Revision > 0 && batch.Era > s.point.Era
	known := s.knowledge()
	var returned map[string]struct{}
	if restored {
		returned = s.returned(changes, known)
		s.doubts = newDoubts()
		s.configuredAt = batch.To // of one that the copy holds an older version of; peers get it with the whole
	}
	s.instances = map[string]record{}
	s.evacuations = map[string]evacuation{}
	s.removed = nil
	s.floor = batch.To
	for _, change := range changes {
		s.apply(change)
	}
	if restored {
		s.doubt(returned, known)
	}
	s.lapseMissing(known.latest, restored)
	s.point = batch.Point()
	return true, true
}

// resolve turns a difference into the configuration that it leads to. It reports
// false when the difference starts from another one than is held.
func (s *State) resolve(change *Change) bool {
	if change.Difference == nil {
		return true
	}
	change.Configuration = change.Difference.applyTo(s.configuration)
	return change.Configuration != nil
}

// apply takes one change in, in the order of revisions, and reports whether it
// changed anything that matters.
func (s *State) apply(change Change) bool {
	switch {
	case change.Configuration != nil:
		return s.configure(change)
	case change.Instance != nil:
		return s.record(change)
	case change.Evacuation != nil:
		return s.evacuate(change)
	case change.Removed != "":
		return s.remove(change)
	default:
		return false
	}
}

// record takes in what a worker has recorded of itself. An incarnation that has said once
// that it leaves is leaving, also where a copy of the store doesn't know that any more.
func (s *State) record(change Change) bool {
	instance := *change.Instance
	before, known := s.instances[instance.ID]
	if known && before.instance.Born != instance.Born {
		s.departures.note(&before.instance)
	}
	instance.Draining = instance.Draining || s.departures.left(&instance)
	if instance.Draining {
		s.departures.note(&instance)
	}
	s.departures.forget(&instance)
	s.instances[instance.ID] = record{instance: instance, revision: change.Revision}
	delete(s.lapsed, instance.ID)
	doubted := s.doubts.instance(instance.ID)
	delete(s.doubts.instances, instance.ID)
	return !known || doubted || before.instance != instance
}

// configure takes a configuration. A lower version never replaces a higher
// one, whatever the store's revision says.
func (s *State) configure(change Change) bool {
	if s.configuration != nil && change.Configuration.Version < s.configuration.Version {
		return false
	}
	fresh := s.configuration == nil || change.Configuration.Version > s.configuration.Version
	s.remember()
	s.configuration = change.Configuration
	s.configuredAt = change.Revision
	return fresh
}

// remember keeps the configuration that is about to be replaced.
func (s *State) remember() {
	if s.configuration == nil || slices.Contains(s.former, s.configuration) {
		return
	}
	s.former = append(s.former, s.configuration)
	if len(s.former) > maxFormer {
		s.former = s.former[1:]
	}
}

func (s *State) remove(change Change) bool {
	gone, known := s.instances[change.Removed]
	if known && !s.doubts.instance(change.Removed) {
		s.lapse(gone.instance)
	}
	if known {
		s.departures.note(&gone.instance)
	}
	delete(s.instances, change.Removed)
	delete(s.doubts.instances, change.Removed)
	s.removed = append(s.removed, removal{id: change.Removed, revision: change.Revision})
	if len(s.removed) > maxRemoved {
		s.floor = max(s.floor, s.removed[0].revision)
		s.removed = s.removed[1:]
	}
	return known
}
